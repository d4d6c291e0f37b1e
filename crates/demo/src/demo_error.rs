use std::io;

use dandelionroad_daemon::node::StartError;
use snafu::Snafu;

/// An error that prevents the demonstration from starting.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DemoError {
    /// A stand-in can't listen on its port.
    #[snafu(display("a stand-in can't listen: {source}; stop the process that uses its port"))]
    Standin {
        /// The error of the operating system.
        source: io::Error,
    },
    /// A node can't start.
    #[snafu(display("{name} can't start: {source}"))]
    Node {
        /// The name of the node in the layout, such as `entry-1`.
        name: String,
        /// The reason why the node can't start: a listener that failed or an invalid setting.
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
