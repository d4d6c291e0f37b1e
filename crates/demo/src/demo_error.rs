use std::io;
use std::net::SocketAddr;

use dandelionroad_daemon::node::StartError;
use snafu::Snafu;

/// An error that prevents the demonstration from starting.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DemoError {
    /// A stand-in can't listen on its port.
    #[snafu(display(
        "a stand-in can't listen on {address}: {source}; stop the process that uses the port"
    ))]
    Standin {
        /// The address of the stand-in.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A node can't start.
    #[snafu(display("{name} can't start: {source}"))]
    Node {
        /// The name of the node.
        name: String,
        /// The error of the listener or the setting because of which the node can't start.
        source: StartError,
    },
    /// The change ticket could not be applied.
    #[snafu(display(
        "the change ticket was not applied: {detail}; correct the ticket or check the first entry"
    ))]
    Ticket {
        /// The answer of the administration API, or the transport error.
        detail: String,
    },
}
