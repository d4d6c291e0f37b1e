//! The subcommands of `dandelionctl`.

mod apply_command;
mod bound_command;
mod endpoints_command;
mod explain_command;
mod history_command;
mod list_command;
mod members_command;
mod show_command;
mod wait_command;

use argh::FromArgs;

use crate::admin_client::AdminClient;
use crate::cli_error::CliError;
use crate::exit_status::ExitStatus;

use self::apply_command::ApplyCommand;
use self::bound_command::BoundCommand;
use self::endpoints_command::EndpointsCommand;
use self::explain_command::ExplainCommand;
use self::history_command::HistoryCommand;
use self::list_command::ListCommand;
use self::members_command::MembersCommand;
use self::show_command::ShowCommand;
use self::wait_command::WaitCommand;

/// The subcommand to run.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum ControlAction {
    Apply(ApplyCommand),
    Bound(BoundCommand),
    Endpoints(EndpointsCommand),
    Explain(ExplainCommand),
    History(HistoryCommand),
    List(ListCommand),
    Members(MembersCommand),
    Show(ShowCommand),
    Wait(WaitCommand),
}

impl ControlAction {
    /// Returns whether the subcommand sends requests to an entry.
    pub(crate) fn needs_entry(&self) -> bool {
        !matches!(self, ControlAction::Explain(_))
    }

    /// Runs the subcommand; `client` is only used if it sends requests to an entry.
    pub(crate) async fn run(
        &self,
        client: &AdminClient,
        is_json: bool,
    ) -> Result<ExitStatus, CliError> {
        match self {
            ControlAction::Explain(command) => command.run(is_json),
            ControlAction::Apply(command) => command.run(client, is_json).await,
            ControlAction::Bound(command) => command.run(client, is_json).await,
            ControlAction::Endpoints(command) => command.run(client, is_json).await,
            ControlAction::History(command) => command.run(client, is_json).await,
            ControlAction::List(command) => command.run(client, is_json).await,
            ControlAction::Members(command) => command.run(client, is_json).await,
            ControlAction::Show(command) => command.run(client, is_json).await,
            ControlAction::Wait(command) => command.run(client, is_json).await,
        }
    }
}
