use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

/// A fault found in a ticket.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize, Snafu)]
#[snafu(display("{place}: {problem}"))]
pub struct TicketFault {
    /// The path of the faulty field in the ticket, such as `pools[0].endpoints[2].end_layer`.
    pub place: String,
    /// The problem and how to correct it.
    pub problem: String,
}

impl TicketFault {
    /// Creates a fault from the path of the field, and the problem with its correction.
    pub fn new(place: impl Into<String>, problem: impl Into<String>) -> TicketFault {
        TicketFault {
            place: place.into(),
            problem: problem.into(),
        }
    }
}
