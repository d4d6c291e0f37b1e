use argh::FromArgs;

use crate::load::LoadCommand;

use super::ServeOptions;

/// The subcommand of the binary.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum StandinsAction {
    /// Generate load on entries.
    Load(LoadCommand),
    /// Serve stand-ins.
    Serve(ServeOptions),
}
