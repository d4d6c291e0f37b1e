use argh::FromArgs;

use crate::admin_client::AdminClient;
use crate::cli_error::CliError;
use crate::exit_status::ExitStatus;
use crate::output::items;
use crate::output::print_json;
use crate::output::print_table;
use crate::output::text;

/// Show the bound on the throughput of each model with the present members.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "bound")]
pub(crate) struct BoundCommand {}

impl BoundCommand {
    /// Runs the command.
    pub(crate) async fn run(
        &self,
        client: &AdminClient,
        is_json: bool,
    ) -> Result<ExitStatus, CliError> {
        let answer = client.get("bound").await?;
        if is_json {
            print_json(&answer);
            return Ok(ExitStatus::Done);
        }
        let models = items(&answer, "models").iter();
        let rows = models.map(|model| vec![text(model, "model"), text(model, "tokens_per_second")]);
        print_table(&["MODEL", "TOKENS/S"], &rows.collect::<Vec<_>>());
        Ok(ExitStatus::Done)
    }
}
