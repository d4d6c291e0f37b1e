use argh::FromArgs;

use crate::admin_client::AdminClient;
use crate::cli_error::CliError;
use crate::exit_status::ExitStatus;
use crate::output::print_json;

/// Show one object with the ticket and the revision that set it.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "show",
    example = "{command_name} account cooperativa-norte"
)]
pub(crate) struct ShowCommand {
    /// account, model, pool or service
    #[argh(positional)]
    kind: String,

    /// name of the object
    #[argh(positional)]
    name: String,
}

impl ShowCommand {
    pub(crate) async fn run(
        &self,
        client: &AdminClient,
        is_json: bool,
    ) -> Result<ExitStatus, CliError> {
        // An object is always printed as JSON, since a table can't show its nested fields.
        let _ = is_json;
        let path = format!("config/{}/{}", self.kind, self.name);
        print_json(&client.get(&path).await?);
        Ok(ExitStatus::Done)
    }
}
