use argh::FromArgs;

use super::DemoAction;

/// The whole system on loopback in one process. Without a command it starts two entries, a
/// three-stage pipeline and a booking service on fixed ports, and prints calls to try.
#[derive(Debug, FromArgs)]
pub struct DemoCommand {
    /// what to do instead
    #[argh(subcommand)]
    pub action: Option<DemoAction>,
}
