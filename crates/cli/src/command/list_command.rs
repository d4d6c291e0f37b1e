use argh::FromArgs;

use crate::admin_client::AdminClient;
use crate::cli_error::CliError;
use crate::exit_status::ExitStatus;
use crate::output::field_text;
use crate::output::list_field;
use crate::output::print_json;
use crate::output::print_table;

/// List the objects with the ticket and the revision that set them.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list", example = "{command_name} pool")]
pub(crate) struct ListCommand {
    /// only this kind: account, model, pool or service
    #[argh(positional)]
    kind: Option<String>,
}

impl ListCommand {
    pub(crate) async fn run(
        &self,
        client: &AdminClient,
        is_json: bool,
    ) -> Result<ExitStatus, CliError> {
        let config = client.get("config").await?;
        let is_selected = |kind: &str| self.kind.as_deref().is_none_or(|wanted| wanted == kind);
        let mut rows = Vec::new();
        for mark in list_field(&config, "marks") {
            let (kind, name) = (field_text(mark, "kind"), field_text(mark, "name"));
            let objects = list_field(&config, &format!("{kind}s"));
            // A deleted object keeps its mark as a tombstone.
            let is_present = objects
                .iter()
                .any(|object| field_text(object, "name") == name);
            if is_present && is_selected(&kind) {
                rows.push(vec![
                    kind,
                    name,
                    field_text(mark, "ticket"),
                    field_text(mark, "revision"),
                ]);
            }
        }
        if is_json {
            let object = |row: &Vec<String>| serde_json::json!({"kind": row[0], "name": row[1]});
            print_json(&rows.iter().map(object).collect());
        } else {
            print_table(&["KIND", "NAME", "TICKET", "REVISION"], &rows);
        }
        Ok(ExitStatus::Done)
    }
}
