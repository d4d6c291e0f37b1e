use argh::FromArgs;

use crate::load::LoadCommand;

use super::ServeOptions;

/// What the binary is to do.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum StandinsAction {
    /// Send a load.
    Load(LoadCommand),
    /// Serve stand-ins.
    Serve(ServeOptions),
}
