use argh::FromArgs;

/// print the first ticket
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "ticket")]
pub struct TicketCommand {}
