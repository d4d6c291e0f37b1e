use argh::FromArgs;
use bytes::Bytes;
use serde_json::Value;
use snafu::ResultExt;

use crate::admin_client::AdminClient;
use crate::cli_error::CliError;
use crate::cli_error::FileSnafu;
use crate::exit_status::ExitStatus;
use crate::output::field_text;
use crate::output::list_field;
use crate::output::print_json;

use super::wait_command::WaitCommand;

/// Apply a change ticket.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "apply",
    example = "{command_name} 7.json",
    example = "cat 7.json | {command_name} --wait"
)]
pub(crate) struct ApplyCommand {
    /// file with the ticket as JSON; standard input if omitted
    #[argh(positional)]
    file: Option<String>,

    /// wait until the ticket is in force at every process
    #[argh(switch)]
    wait: bool,
}

impl ApplyCommand {
    pub(crate) async fn run(
        &self,
        client: &AdminClient,
        is_json: bool,
    ) -> Result<ExitStatus, CliError> {
        let ticket = self.read_ticket()?;
        let verdict = client.apply(ticket).await?;
        let status = status_of(&verdict)?;
        if is_json {
            print_json(&verdict);
        } else {
            print_verdict(&verdict);
        }
        match verdict["revision"].as_u64() {
            Some(revision) if self.wait && status == ExitStatus::Done => {
                WaitCommand::new(revision).run(client, is_json).await
            }
            _ => Ok(status),
        }
    }

    fn read_ticket(&self) -> Result<Bytes, CliError> {
        let content = match &self.file {
            Some(path) => std::fs::read_to_string(path),
            None => std::io::read_to_string(std::io::stdin()),
        };
        let path = self.file.as_deref().unwrap_or("standard input");
        Ok(content.context(FileSnafu { path })?.into())
    }
}

fn status_of(verdict: &Value) -> Result<ExitStatus, CliError> {
    match verdict["verdict"].as_str().unwrap_or_default() {
        "accepted" | "repeated" => Ok(ExitStatus::Done),
        "invalid" => Ok(ExitStatus::Invalid),
        "superseded" | "conflict" => Ok(ExitStatus::Refused),
        "busy" | "store-down" => Ok(ExitStatus::NotRun),
        "unknown" => Ok(ExitStatus::Unknown),
        other => Err(CliError::BadResponse {
            detail: format!("verdict {other:?}"),
        }),
    }
}

fn print_verdict(verdict: &Value) {
    let revision = field_text(verdict, "revision");
    match verdict["verdict"].as_str().unwrap_or_default() {
        "accepted" => println!("accepted as revision {revision}"),
        "repeated" => println!("no effect: the ticket created revision {revision} before"),
        "invalid" => {
            println!("the ticket has faults; nothing was changed:");
            for fault in list_field(verdict, "faults") {
                println!(
                    "  {}: {}",
                    field_text(fault, "place"),
                    field_text(fault, "problem")
                );
            }
        }
        "superseded" => {
            let object = &verdict["object"];
            let (kind, name) = (field_text(object, "kind"), field_text(object, "name"));
            let holds = field_text(verdict, "holds");
            println!("superseded: {kind} {name} holds ticket {holds}; use a higher number");
        }
        "conflict" => println!(
            "conflict: another ticket with this number created revision {revision}; use a new number"
        ),
        "busy" => println!("not run: every attempt conflicted with another ticket; apply it again"),
        "store-down" => println!("not run: the table service is down; apply it again later"),
        _ => println!("unknown: the ticket may have taken effect; apply the same ticket again"),
    }
}
