use argh::FromArgs;
use serde_json::Value;

use crate::admin_client::AdminClient;
use crate::cli_error::CliError;
use crate::exit_status::ExitStatus;
use crate::output::field_text;
use crate::output::list_field;
use crate::output::print_json;
use crate::output::print_table;

/// List the endpoints of every pool and service with their state.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "endpoints")]
pub(crate) struct EndpointsCommand {}

impl EndpointsCommand {
    pub(crate) async fn run(
        &self,
        client: &AdminClient,
        is_json: bool,
    ) -> Result<ExitStatus, CliError> {
        let config = client.get("config").await?;
        let members = client.get("members").await?;
        let mut rows = Vec::new();
        for pool in list_field(&config, "pools") {
            for endpoint in list_field(pool, "endpoints") {
                let layers = format!(
                    "{}..{}",
                    field_text(endpoint, "first_layer"),
                    field_text(endpoint, "end_layer")
                );
                let owner = format!("pool/{}", field_text(pool, "name"));
                rows.push(new_row(
                    &members,
                    field_text(endpoint, "name"),
                    owner,
                    layers,
                ));
            }
        }
        for service in list_field(&config, "services") {
            for endpoint in list_field(service, "endpoints") {
                let name = endpoint.as_str().unwrap_or_default().to_owned();
                let owner = format!("service/{}", field_text(service, "name"));
                rows.push(new_row(&members, name, owner, "-".to_owned()));
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

fn new_row(members: &Value, name: String, owner: String, layers: String) -> Vec<String> {
    let mut records = list_field(members, "members").iter();
    let member = records.find(|member| field_text(member, "name") == name);
    let field =
        |field| member.map_or_else(|| "absent".to_owned(), |member| field_text(member, field));
    let (state, address) = (field("state"), field("address"));
    vec![name, owner, layers, state, address]
}
