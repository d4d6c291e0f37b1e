use argh::FromArgs;
use serde_json::Value;

use crate::admin_client::AdminClient;
use crate::cli_error::CliError;
use crate::exit_status::ExitStatus;
use crate::output::items;
use crate::output::print_json;
use crate::output::print_table;
use crate::output::text;

/// List the endpoints of every pool and service with their state.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "endpoints")]
pub(crate) struct EndpointsCommand {}

impl EndpointsCommand {
    /// Runs the command.
    pub(crate) async fn run(
        &self,
        client: &AdminClient,
        is_json: bool,
    ) -> Result<ExitStatus, CliError> {
        let config = client.get("config").await?;
        let members = client.get("members").await?;
        let mut rows = Vec::new();
        for pool in items(&config, "pools") {
            for endpoint in items(pool, "endpoints") {
                let layers = format!(
                    "{}..{}",
                    text(endpoint, "first_layer"),
                    text(endpoint, "end_layer")
                );
                let place = format!("pool/{}", text(pool, "name"));
                rows.push(new_row(&members, text(endpoint, "name"), place, layers));
            }
        }
        for service in items(&config, "services") {
            for endpoint in items(service, "endpoints") {
                let name = endpoint.as_str().unwrap_or_default().to_owned();
                let place = format!("service/{}", text(service, "name"));
                rows.push(new_row(&members, name, place, "-".to_owned()));
            }
        }
        let headings = ["ENDPOINT", "SERVES", "LAYERS", "STATE", "ADDRESS"];
        if is_json {
            let fields = headings.map(str::to_lowercase);
            let object = |row: &Vec<String>| -> Value {
                let cells = row.iter().map(|cell| Value::from(cell.as_str()));
                Value::Object(fields.iter().cloned().zip(cells).collect())
            };
            print_json(&rows.iter().map(object).collect());
        } else {
            print_table(&headings, &rows);
        }
        Ok(ExitStatus::Done)
    }
}

fn new_row(members: &Value, name: String, place: String, layers: String) -> Vec<String> {
    let mut known = items(members, "members").iter();
    let member = known.find(|member| text(member, "name") == name);
    let field = |field| member.map_or_else(|| "absent".to_owned(), |member| text(member, field));
    let (state, address) = (field("state"), field("address"));
    vec![name, place, layers, state, address]
}
