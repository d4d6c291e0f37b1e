use argh::FromArgs;

/// print the change ticket with the initial configuration
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "ticket")]
pub struct TicketCommand {}
