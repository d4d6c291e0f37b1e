/*!
The whole system on loopback in one process: stand-ins for the outside systems, two entries, a
three-stage pipeline with overlapping layer ranges, and two endpoints of a booking service.

The binary runs it on the fixed ports that the README names. Tests and measurements run it on free
ports, and measurements also with other layouts.
*/

mod calls_command;
mod demo_action;
mod demo_cluster;
mod demo_command;
mod demo_error;
mod demo_layout;
mod demo_options;
mod demo_ticket;
mod latency_command;
mod latency_run;
mod sample_calls;
mod ticket_command;

pub use self::calls_command::CallsCommand;
pub use self::demo_action::DemoAction;
pub use self::demo_cluster::DemoCluster;
pub use self::demo_command::DemoCommand;
pub use self::demo_error::DemoError;
pub use self::demo_layout::DemoLayout;
pub use self::demo_options::DemoOptions;
pub use self::demo_ticket::demo_ticket;
pub use self::latency_command::LatencyCommand;
pub use self::latency_run::LatencyRun;
pub use self::sample_calls::sample_calls;
pub use self::ticket_command::TicketCommand;

/// The secret of the client account in the initial configuration.
pub const ACCOUNT_SECRET: &str = "demo-secret";

/// The bearer token that the administration API of the entries requires.
pub const ADMIN_TOKEN: &str = "demo-admin";

/// The name of the model in the initial configuration.
pub const MODEL: &str = "knots";

/// The number of layers of the model.
pub const LAYERS: u16 = 12;

/// The name of the plain service in the initial configuration.
pub const SERVICE: &str = "booking";
