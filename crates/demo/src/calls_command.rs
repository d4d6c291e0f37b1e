use argh::FromArgs;

/// print sample calls for the demonstration
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "calls")]
pub struct CallsCommand {}
