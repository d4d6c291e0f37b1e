use argh::FromArgs;

/// print the calls to try
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "calls")]
pub struct CallsCommand {}
