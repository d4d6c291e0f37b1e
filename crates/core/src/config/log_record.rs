use serde::Deserialize;
use serde::Serialize;

use super::ChangeTicket;

/// The value of a row `config-log/<revision>`: the ticket that created the revision.
///
/// A process that polls the table service reads the records after its revision and applies them in
/// order. This yields a consistent configuration without a transaction over all objects.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogRecord {
    /// The revision that the ticket created.
    pub revision: u64,
    /// The wall-clock time at which the ticket was accepted, in milliseconds since the Unix epoch.
    pub accepted_at_ms: u64,
    /// The accepted ticket.
    pub ticket: ChangeTicket,
}
