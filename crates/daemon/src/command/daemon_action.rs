use argh::FromArgs;
use dandelionroad_settings::EndpointFlags;
use dandelionroad_settings::EntryFlags;

use super::CheckCommand;
use super::VersionCommand;

/// What the daemon is to do.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum DaemonAction {
    /// Check the settings.
    Check(CheckCommand),
    /// Run an endpoint.
    Endpoint(EndpointFlags),
    /// Run an entry.
    Entry(EntryFlags),
    /// Print the version.
    Version(VersionCommand),
}
