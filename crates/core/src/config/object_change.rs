use serde::Deserialize;
use serde::Serialize;

use super::ConfigObject;
use super::ObjectMark;

/// The new state of one object, with the ticket and revision that set it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ObjectChange {
    /// The ticket and revision that set this state.
    pub mark: ObjectMark,
    /// The state, or `None` if the object was deleted.
    pub object: Option<ConfigObject>,
}
