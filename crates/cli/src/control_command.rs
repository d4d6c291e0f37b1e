use std::net::SocketAddr;

use argh::FromArgs;

use crate::admin_client::AdminClient;
use crate::cli_error::CliError;
use crate::command::ControlAction;
use crate::exit_status::ExitStatus;

/// The default address of the administration API.
const DEFAULT_ADDRESS: &str = "127.0.0.1:8081";

/// Operate a dandelionroad system through the administration API of one of its entries.
#[derive(Debug, FromArgs)]
#[argh(
    example = "Create the service \"booking\", and wait until every process holds it:\n  \
        echo '{{\"number\": 7, \"services\": [{{\"name\": \"booking\", \"idempotent\": false, \
        \"endpoints\": [\"order-1\"]}}]}}' > 7.json\n  {command_name} apply 7.json --wait",
    example = "Show one object, all models, and the accepted tickets after revision 40:\n  \
        {command_name} show service booking\n  {command_name} list model\n  \
        {command_name} history --after 40",
    example = "See which processes lag behind revision 41:\n  {command_name} wait 41",
    example = "Follow one request through the logs of all entries:\n  \
        {command_name} explain 12f54d51d27f4802 entry-*.log",
    note = "The token comes from DANDELIONROAD_ADMIN_TOKEN only. --address takes precedence over \
        DANDELIONROAD_ADMIN_ADDRESS.",
    note = "A ticket contains the complete new state of each object that it changes. Applying the \
        same ticket again has no effect, so that a ticket can be repeated after any failure.",
    error_code(
        1,
        "the command line or an environment variable is invalid, a file can't be read, or the entry \
        refuses the request"
    ),
    error_code(2, "the ticket has faults; nothing was changed"),
    error_code(3, "the ticket is superseded or in conflict; nothing was changed"),
    error_code(4, "the table service is down or busy; nothing was changed; try again"),
    error_code(5, "the ticket may have taken effect; apply the same ticket again"),
    error_code(6, "the revision was not in force at all processes before the timeout"),
    error_code(
        7,
        "the entry can't be reached, rejects the token or sends an unexpected response"
    ),
    error_code(8, "there is no such object, or no log line about the request")
)]
pub(crate) struct ControlCommand {
    /// address of the administration API of an entry, as ip:port; default:
    /// 127.0.0.1:8081
    #[argh(option)]
    address: Option<String>,

    /// print JSON instead of tables
    #[argh(switch)]
    json: bool,

    #[argh(subcommand)]
    action: ControlAction,
}

impl ControlCommand {
    pub(crate) async fn run(&self) -> Result<ExitStatus, CliError> {
        let variable = std::env::var("DANDELIONROAD_ADMIN_ADDRESS").ok();
        let address = self.address.clone().or(variable);
        let address = address.unwrap_or_else(|| DEFAULT_ADDRESS.to_owned());
        if address.parse::<SocketAddr>().is_err() {
            let detail = format!("{address} is not an address of the form ip:port");
            return Err(CliError::Address { detail });
        }
        let token = std::env::var("DANDELIONROAD_ADMIN_TOKEN").unwrap_or_default();
        if token.is_empty() && self.action.needs_entry() {
            return Err(CliError::Token);
        }
        let client = AdminClient::new(address, token);
        self.action.run(&client, self.json).await
    }
}
