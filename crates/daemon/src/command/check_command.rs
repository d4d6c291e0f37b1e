use argh::FromArgs;

use super::RoleFlags;

/// report whether the daemon would start with the given settings
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "check",
    example = "{command_name} entry --name entry-1 --zone talca --table-url http://10.0.0.5:8100 \\\n    --object-url http://10.0.0.5:8101 --hosts-url http://10.0.0.5:8102",
    note = "Outside systems that don't answer are warnings: the daemon starts without them.",
    error_code(1, "A listener can't be bound."),
    error_code(2, "The settings have a fault; all faults are printed.")
)]
pub struct CheckCommand {
    /// the role to check
    #[argh(subcommand)]
    pub role: RoleFlags,
}
