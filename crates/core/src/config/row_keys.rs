//! The row keys of the configuration in the table service.

use super::ObjectKind;

/// The key of the row that holds the current revision.
pub const REVISION_KEY: &str = "config-revision";

/// The key prefix of the rows that hold the configuration objects.
pub const OBJECT_PREFIX: &str = "config/";

/// The key prefix of the rows that hold the accepted tickets, ordered by revision.
pub const LOG_PREFIX: &str = "config-log/";

/// Returns the key of an object's row.
pub fn object_key(kind: ObjectKind, name: &str) -> String {
    format!("{OBJECT_PREFIX}{}/{name}", kind.as_str())
}

/// Returns the key of the row that holds the ticket of a revision; keys sort in revision order.
pub fn log_key(revision: u64) -> String {
    format!("{LOG_PREFIX}{revision:020}")
}

/// Returns the key of the row that records the ticket committed with a number.
pub fn ticket_key(number: u64) -> String {
    format!("ticket/{number:020}")
}
