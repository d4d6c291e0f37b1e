use serde::Deserialize;
use serde::Serialize;

use super::ObjectKind;

/// A reference to a configuration object by kind and name.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ObjectRef {
    /// The kind of the referenced object.
    pub kind: ObjectKind,
    /// The name of the referenced object, unique within its kind.
    pub name: String,
}
