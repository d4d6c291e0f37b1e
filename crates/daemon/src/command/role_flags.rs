use argh::FromArgs;
use dandelionroad_settings::EndpointFlags;
use dandelionroad_settings::EntryFlags;

/// The role of the process, given as a subcommand, with its flags.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum RoleFlags {
    /// The flags of an endpoint.
    Endpoint(EndpointFlags),
    /// The flags of an entry.
    Entry(EntryFlags),
}
