//! The daemon of dandelionroad; see `dandelionroad --help`.

use std::process::ExitCode;

use dandelionroad_daemon::command;
use dandelionroad_daemon::command::DaemonCommand;

fn main() -> ExitCode {
    let command: DaemonCommand = argh::from_env();
    command::run(&command)
}
