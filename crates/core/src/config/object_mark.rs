use std::cmp::Ordering;

use serde::Deserialize;
use serde::Serialize;

use super::ObjectKind;

/// Which ticket last set or deleted an object, and in which revision.
///
/// The mark of a deleted object is kept, so that a ticket with a lower number can't restore it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ObjectMark {
    /// The kind of the object.
    pub kind: ObjectKind,
    /// The name of the object.
    pub name: String,
    /// The number of the ticket.
    pub ticket: u64,
    /// The revision that the ticket created.
    pub revision: u64,
}

impl ObjectMark {
    /// Compares the mark with an object reference, in the order in which marks are sorted.
    pub fn cmp_key(&self, kind: ObjectKind, name: &str) -> Ordering {
        (self.kind, self.name.as_str()).cmp(&(kind, name))
    }
}
