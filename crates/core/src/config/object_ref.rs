use serde::Deserialize;
use serde::Serialize;

use super::ObjectKind;

/// A reference to a configuration object by kind and name.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ObjectRef {
    /// The kind of the object.
    pub kind: ObjectKind,
    /// The name of the object.
    pub name: String,
}
