/*!
The command line of the daemon: the flags, the settings check, and the run of one node from its start
to its shutdown.
*/

mod check_command;
mod daemon_action;
mod daemon_command;
mod node_run;
mod role_flags;
mod start_check;
mod version_command;

pub use self::check_command::CheckCommand;
pub use self::daemon_action::DaemonAction;
pub use self::daemon_command::DaemonCommand;
pub use self::role_flags::RoleFlags;
pub use self::start_check::StartCheck;
pub use self::version_command::VersionCommand;

use std::process::ExitCode;

/// The exit code for invalid settings.
const EXIT_BAD_SETTINGS: u8 = 2;

/// Runs the command to its end and returns the exit code; a node runs until a signal stops it.
pub fn run(command: &DaemonCommand) -> ExitCode {
    match &command.action {
        DaemonAction::Version(_) => {
            println!("dandelionroad {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        DaemonAction::Check(check) => start_check::run(&check.role),
        DaemonAction::Entry(flags) => node_run::run(flags.read(&read_variable)),
        DaemonAction::Endpoint(flags) => node_run::run(flags.read(&read_variable)),
    }
}

fn read_variable(variable: &str) -> Option<String> {
    std::env::var(variable).ok()
}
