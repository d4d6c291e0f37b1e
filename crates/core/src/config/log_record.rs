use serde::Deserialize;
use serde::Serialize;

use super::ChangeTicket;

/// The value of a row `config-log/<revision>`: the ticket that created the revision.
///
/// A process that polls the store reads the records that follow its revision and applies them in
/// order, which gives a consistent state without a transaction over all objects.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogRecord {
    /// The revision.
    pub revision: u64,
    /// The wall-clock time of the acceptance in milliseconds since the Unix epoch.
    pub accepted_at_ms: u64,
    /// The ticket.
    pub ticket: ChangeTicket,
}
