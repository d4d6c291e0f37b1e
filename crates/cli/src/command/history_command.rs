use argh::FromArgs;
use serde_json::Value;

use crate::admin_client::AdminClient;
use crate::cli_error::CliError;
use crate::exit_status::ExitStatus;
use crate::output::field_text;
use crate::output::list_field;
use crate::output::print_json;
use crate::output::print_table;

/// List the accepted tickets in order of revision.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "history",
    example = "{command_name} --after 40 --limit 20"
)]
pub(crate) struct HistoryCommand {
    /// only revisions after this one; default: 0
    #[argh(option, default = "0")]
    after: u64,

    /// maximum number of tickets, up to 256; default: 50
    #[argh(option, default = "50")]
    limit: u32,
}

impl HistoryCommand {
    pub(crate) async fn run(
        &self,
        client: &AdminClient,
        is_json: bool,
    ) -> Result<ExitStatus, CliError> {
        let path = format!("tickets?after={}&limit={}", self.after, self.limit);
        let answer = client.get(&path).await?;
        if is_json {
            print_json(&answer);
            return Ok(ExitStatus::Done);
        }
        let tickets = list_field(&answer, "tickets").iter();
        let rows = tickets.map(|record| {
            let ticket = &record["ticket"];
            let revision = field_text(record, "revision");
            vec![
                revision,
                field_text(ticket, "number"),
                field_text(record, "accepted_at_ms"),
                changed_objects(ticket),
            ]
        });
        let headings = ["REVISION", "TICKET", "ACCEPTED (MS)", "OBJECTS"];
        print_table(&headings, &rows.collect::<Vec<_>>());
        Ok(ExitStatus::Done)
    }
}

/// Returns the names of the objects that a ticket changes, with `-` before those that it deletes.
fn changed_objects(ticket: &Value) -> String {
    let mut names = Vec::new();
    for kind in ["account", "model", "pool", "service"] {
        for object in list_field(ticket, &format!("{kind}s")) {
            names.push(format!("{kind}/{}", field_text(object, "name")));
        }
    }
    for object in list_field(ticket, "delete") {
        names.push(format!(
            "-{}/{}",
            field_text(object, "kind"),
            field_text(object, "name")
        ));
    }
    names.join(" ")
}
