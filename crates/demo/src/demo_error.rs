use std::io;

use dandelionroad_daemon::node::StartError;
use snafu::Snafu;

/// A reason why the demonstration can't start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DemoError {
    /// A stand-in can't listen.
    #[snafu(display("a stand-in can't listen: {source}; stop what uses its port"))]
    Standin {
        /// What the system said.
        source: io::Error,
    },
    /// A node can't start.
    #[snafu(display("{name} can't start: {source}"))]
    Node {
        /// The name of the node.
        name: String,
        /// What keeps it from starting.
        source: StartError,
    },
    /// The first ticket was refused.
    #[snafu(display("the ticket was refused: {detail}; correct it"))]
    Ticket {
        /// What the administration API said.
        detail: String,
    },
}
