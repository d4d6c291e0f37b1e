use serde::Deserialize;
use serde::Serialize;

use super::ObjectChange;

/// The changes of the configuration after the revision `base`, up to and including `revision`.
///
/// The delta can be applied to any revision from `base` on. A process with an older revision lacks
/// changes before `base` and must request a larger delta.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigDelta {
    /// The revision that the changes follow.
    pub base: u64,
    /// The revision that results from the changes.
    pub revision: u64,
    /// The newest state of each changed object.
    pub changes: Vec<ObjectChange>,
}
