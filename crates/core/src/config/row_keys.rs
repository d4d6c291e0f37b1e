//! The keys of the rows that hold the configuration in the table service.

use super::ObjectKind;

/// The key of the row that holds the revision.
pub const REVISION_KEY: &str = "config-revision";

/// The prefix of the rows that hold the objects.
pub const OBJECT_PREFIX: &str = "config/";

/// The prefix of the rows that hold the accepted tickets in the order of revisions.
pub const LOG_PREFIX: &str = "config-log/";

/// Returns the key of an object's row.
pub fn object_key(kind: ObjectKind, name: &str) -> String {
    format!("{OBJECT_PREFIX}{}/{name}", kind.as_str())
}

/// Returns the key of the row that holds the ticket of a revision; keys sort like revisions.
pub fn log_key(revision: u64) -> String {
    format!("{LOG_PREFIX}{revision:020}")
}

/// Returns the key of the row that tells which ticket took effect under a number.
pub fn ticket_key(number: u64) -> String {
    format!("ticket/{number:020}")
}
