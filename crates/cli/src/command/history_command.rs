use argh::FromArgs;
use serde_json::Value;

use crate::admin_client::AdminClient;
use crate::cli_error::CliError;
use crate::exit_status::ExitStatus;
use crate::output::items;
use crate::output::print_json;
use crate::output::print_table;
use crate::output::text;

/// List the accepted tickets in the order of revisions.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "history",
    example = "{command_name} --after 40 --limit 20"
)]
pub(crate) struct HistoryCommand {
    /// only revisions after this one (0)
    #[argh(option, default = "0")]
    after: u64,

    /// the greatest number of tickets, up to 256 (50)
    #[argh(option, default = "50")]
    limit: u32,
}

impl HistoryCommand {
    /// Runs the command.
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
        let tickets = items(&answer, "tickets").iter();
        let rows = tickets.map(|record| {
            let ticket = &record["ticket"];
            let revision = text(record, "revision");
            vec![
                revision,
                text(ticket, "number"),
                text(record, "accepted_at_ms"),
                touched(ticket),
            ]
        });
        let headings = ["REVISION", "TICKET", "ACCEPTED (MS)", "OBJECTS"];
        print_table(&headings, &rows.collect::<Vec<_>>());
        Ok(ExitStatus::Done)
    }
}

/// Returns the names of the objects that a ticket touches.
fn touched(ticket: &Value) -> String {
    let mut names = Vec::new();
    for kind in ["account", "model", "pool", "service"] {
        for object in items(ticket, &format!("{kind}s")) {
            names.push(format!("{kind}/{}", text(object, "name")));
        }
    }
    for object in items(ticket, "delete") {
        names.push(format!(
            "-{}/{}",
            text(object, "kind"),
            text(object, "name")
        ));
    }
    names.join(" ")
}
