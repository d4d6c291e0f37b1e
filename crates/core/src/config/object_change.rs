use serde::Deserialize;
use serde::Serialize;

use super::ConfigObject;
use super::ObjectMark;

/// The newest state of one object together with its mark.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ObjectChange {
    /// Which ticket set this state.
    pub mark: ObjectMark,
    /// The state, or `None` if the object was deleted.
    pub object: Option<ConfigObject>,
}
