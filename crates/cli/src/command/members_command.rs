use argh::FromArgs;

use crate::admin_client::AdminClient;
use crate::cli_error::CliError;
use crate::exit_status::ExitStatus;
use crate::output::field_text;
use crate::output::list_field;
use crate::output::print_json;
use crate::output::print_table;

/// List the processes with the revision in force at each.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "members")]
pub(crate) struct MembersCommand {}

impl MembersCommand {
    pub(crate) async fn run(
        &self,
        client: &AdminClient,
        is_json: bool,
    ) -> Result<ExitStatus, CliError> {
        let answer = client.get("members").await?;
        if is_json {
            print_json(&answer);
            return Ok(ExitStatus::Done);
        }
        let fields = [
            "name", "role", "zone", "host", "address", "state", "revision",
        ];
        let members = list_field(&answer, "members").iter();
        let rows = members.map(|member| fields.map(|field| field_text(member, field)).to_vec());
        let headings = [
            "NAME", "ROLE", "ZONE", "HOST", "ADDRESS", "STATE", "REVISION",
        ];
        print_table(&headings, &rows.collect::<Vec<_>>());
        Ok(ExitStatus::Done)
    }
}
