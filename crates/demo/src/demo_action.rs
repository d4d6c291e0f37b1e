use argh::FromArgs;

use super::CallsCommand;
use super::LatencyCommand;
use super::TicketCommand;

/// A subcommand that replaces running the demonstration.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum DemoAction {
    /// Print the sample calls.
    Calls(CallsCommand),
    /// Measure the latency that the router adds.
    Latency(LatencyCommand),
    /// Print the change ticket with the initial configuration.
    Ticket(TicketCommand),
}
