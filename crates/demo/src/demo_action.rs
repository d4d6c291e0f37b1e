use argh::FromArgs;

use super::CallsCommand;
use super::LatencyCommand;
use super::TicketCommand;

/// What the demonstration does besides running.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum DemoAction {
    /// Print the calls to try.
    Calls(CallsCommand),
    /// Measure the latency that the router adds.
    Latency(LatencyCommand),
    /// Print the first ticket.
    Ticket(TicketCommand),
}
