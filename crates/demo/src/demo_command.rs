use argh::FromArgs;

use super::DemoAction;

/// The whole system on loopback in one process. Without a subcommand it starts two entries, a
/// three-stage pipeline and a booking service on fixed ports, and prints sample calls.
#[derive(Debug, FromArgs)]
pub struct DemoCommand {
    /// subcommand to run instead of the demonstration
    #[argh(subcommand)]
    pub action: Option<DemoAction>,
}
