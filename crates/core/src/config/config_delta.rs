use serde::Deserialize;
use serde::Serialize;

use super::ObjectChange;

/// Every object that changed after the revision `base`, up to and including `revision`.
///
/// A holder of any revision from `base` on can adopt the delta; a holder of an older one lacks the
/// changes before `base` and must ask for a larger delta.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigDelta {
    /// The revision from which the delta leads on.
    pub base: u64,
    /// The revision to which the delta leads.
    pub revision: u64,
    /// The changed objects.
    pub changes: Vec<ObjectChange>,
}
