use argh::FromArgs;

use super::StandinsAction;

/// Stand-ins for the outside systems, and a load generator.
#[derive(Debug, FromArgs)]
#[argh(
    example = "Serve a table service and an engine that holds layers 0 to 7, 10 ms per step:\n  {command_name} serve --table 127.0.0.1:8100 --engine 127.0.0.1:8201,knots,0-8,10000",
    example = "Send 200 chat requests to two entries, 8 at a time:\n  DANDELIONROAD_ACCOUNT_SECRET=... {command_name} load --entry http://127.0.0.1:8080 \\\n    --entry http://127.0.0.1:8090 --kind chat"
)]
pub struct StandinsCommand {
    /// the subcommand
    #[argh(subcommand)]
    pub action: StandinsAction,
}
