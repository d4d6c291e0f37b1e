use argh::FromArgs;

use crate::admin_client::AdminClient;
use crate::cli_error::CliError;
use crate::exit_status::ExitStatus;
use crate::output::field_text;
use crate::output::list_field;
use crate::output::print_json;
use crate::output::print_table;

/// Show the upper bound of the throughput of each model with the current members.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "bound")]
pub(crate) struct BoundCommand {}

impl BoundCommand {
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
        let models = list_field(&answer, "models").iter();
        let rows = models.map(|model| {
            vec![
                field_text(model, "model"),
                field_text(model, "tokens_per_second"),
            ]
        });
        print_table(&["MODEL", "TOKENS/S"], &rows.collect::<Vec<_>>());
        Ok(ExitStatus::Done)
    }
}
