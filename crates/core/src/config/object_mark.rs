use std::cmp::Ordering;

use serde::Deserialize;
use serde::Serialize;

use super::ObjectKind;

/// The ticket and revision that last changed or deleted an object.
///
/// The mark of a deleted object is kept as a tombstone, so that a ticket with a lower number can't
/// restore the object.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ObjectMark {
    /// The kind of the changed or deleted object.
    pub kind: ObjectKind,
    /// The name of the changed or deleted object, unique within its kind.
    pub name: String,
    /// The number of the last ticket that changed or deleted the object.
    pub ticket: u64,
    /// The configuration revision that this ticket created.
    pub revision: u64,
}

impl ObjectMark {
    /// Compares the object of the mark with another object, in the order in which marks are sorted.
    pub fn cmp_key(&self, kind: ObjectKind, name: &str) -> Ordering {
        (self.kind, self.name.as_str()).cmp(&(kind, name))
    }
}
