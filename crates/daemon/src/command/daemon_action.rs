use argh::FromArgs;
use dandelionroad_settings::EndpointFlags;
use dandelionroad_settings::EntryFlags;

use super::CheckCommand;
use super::VersionCommand;

/// The subcommand of the daemon.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum DaemonAction {
    /// Reports whether the daemon would start with the given settings.
    Check(CheckCommand),
    /// Runs an endpoint.
    Endpoint(EndpointFlags),
    /// Runs an entry.
    Entry(EntryFlags),
    /// Prints the version.
    Version(VersionCommand),
}
