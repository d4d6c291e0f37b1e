use serde::Deserialize;
use serde::Serialize;

use super::ObjectRef;
use super::TicketFault;

/// The outcome of a submitted ticket.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "verdict")]
pub enum TicketVerdict {
    /// The ticket was committed.
    Accepted {
        /// The revision that the ticket created.
        revision: u64,
    },
    /// The same ticket was committed before; this submission had no effect.
    Repeated {
        /// The revision that the earlier submission created.
        revision: u64,
    },
    /// An object was last changed by a ticket with a higher number; nothing was changed.
    Superseded {
        /// The first such object.
        object: ObjectRef,
        /// The number of the ticket that last changed the object.
        holds: u64,
    },
    /// A different ticket with the same number was committed before; nothing was changed.
    Conflict {
        /// The revision that the other ticket created, or 0 if its row can't be parsed.
        revision: u64,
    },
    /// The ticket has faults; nothing was changed.
    Invalid {
        /// Every fault that was found.
        faults: Vec<TicketFault>,
    },
    /// Every attempt conflicted with the commit of another ticket; nothing was changed.
    Busy,
    /// The table service could not be reached; nothing was changed.
    StoreDown,
    /// The answer to the commit was lost and the result could not be read back before the deadline;
    /// the ticket may have taken effect.
    Unknown,
}
