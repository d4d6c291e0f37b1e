use argh::FromArgs;

/// print the version
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "version")]
pub struct VersionCommand {}
