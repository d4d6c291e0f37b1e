use serde::Deserialize;
use serde::Serialize;

use super::ObjectRef;
use super::TicketFault;

/// What became of a submitted ticket.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "verdict")]
pub enum TicketVerdict {
    /// The ticket took effect and created the revision.
    Accepted {
        /// The revision.
        revision: u64,
    },
    /// The same ticket took effect before; this submission had no effect.
    Repeated {
        /// The revision that the ticket created then.
        revision: u64,
    },
    /// An object holds the state of a later ticket, so that nothing was changed.
    Superseded {
        /// The object.
        object: ObjectRef,
        /// The number of the ticket whose state the object holds.
        holds: u64,
    },
    /// Another ticket with the same number took effect before, so that nothing was changed.
    Conflict {
        /// The revision that the other ticket created.
        revision: u64,
    },
    /// The ticket has faults, so that nothing was changed.
    Invalid {
        /// Every fault that was found.
        faults: Vec<TicketFault>,
    },
    /// Other tickets were committed meanwhile on every try; nothing was changed.
    Busy,
    /// The table service could not be reached; nothing was changed.
    StoreDown,
    /// The answer of the table service was lost and could not be read back; the ticket may have
    /// taken effect.
    Unknown,
}
