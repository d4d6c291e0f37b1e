use argh::FromArgs;

use crate::admin_client::AdminClient;
use crate::cli_error::CliError;
use crate::exit_status::ExitStatus;
use crate::output::field_text;
use crate::output::list_field;
use crate::output::print_json;
use crate::output::print_table;

/// Wait until a revision is in force at every process, and list the processes that lag behind.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "wait",
    example = "{command_name} 41 --timeout-ms 20000"
)]
pub(crate) struct WaitCommand {
    /// revision to wait for
    #[argh(positional)]
    revision: u64,

    /// maximum wait in milliseconds, up to 60000; default: 10000
    #[argh(option, default = "10_000")]
    timeout_ms: u64,
}

impl WaitCommand {
    /// Creates the command for a revision, with the default timeout.
    pub(crate) fn new(revision: u64) -> WaitCommand {
        WaitCommand {
            revision,
            timeout_ms: 10_000,
        }
    }

    pub(crate) async fn run(
        &self,
        client: &AdminClient,
        is_json: bool,
    ) -> Result<ExitStatus, CliError> {
        let path = format!(
            "wait?revision={}&timeout_ms={}",
            self.revision, self.timeout_ms
        );
        let answer = client.get(&path).await?;
        let is_in_force = answer["in_force"] == true;
        if is_json {
            print_json(&answer);
        } else if is_in_force {
            let count = field_text(&answer, "members");
            println!(
                "revision {} is in force at all {count} processes",
                self.revision
            );
        } else {
            let fields = ["name", "state", "address", "revision"];
            let lagging = list_field(&answer, "lagging").iter();
            let rows = lagging.map(|member| fields.map(|field| field_text(member, field)).to_vec());
            println!("revision {} is not in force at:", self.revision);
            print_table(
                &["NAME", "STATE", "ADDRESS", "REVISION"],
                &rows.collect::<Vec<_>>(),
            );
        }
        Ok(if is_in_force {
            ExitStatus::Done
        } else {
            ExitStatus::Lagging
        })
    }
}
