//! `dandelionctl`, the command-line tool for operators: applies change tickets and shows the
//! configuration, the processes and their logs; see `dandelionctl --help`.

mod admin_client;
mod cli_error;
mod command;
mod control_command;
mod exit_status;
mod log_line;
mod output;

use std::process::ExitCode;

use self::control_command::ControlCommand;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let command: ControlCommand = argh::from_env();
    match command.run().await {
        Ok(status) => status.into(),
        Err(error) => {
            eprintln!("dandelionctl: {error}");
            error.status().into()
        }
    }
}
