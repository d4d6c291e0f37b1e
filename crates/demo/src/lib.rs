/*!
The whole system on loopback in one process: stand-ins, two entries, a three-stage pipeline with
overlapping layer ranges and two endpoints of a booking service.

The binary starts it on fixed ports for the README; tests and measurements start it on free ports.
*/

mod demo_cluster;
mod demo_error;
mod demo_layout;
mod demo_options;
mod demo_ticket;

pub use self::demo_cluster::DemoCluster;
pub use self::demo_error::DemoError;
pub use self::demo_layout::DemoLayout;
pub use self::demo_options::DemoOptions;
pub use self::demo_ticket::demo_ticket;

/// The secret of the client account of the first ticket.
pub const ACCOUNT_SECRET: &str = "demo-secret";

/// The secret of the administration API.
pub const ADMIN_TOKEN: &str = "demo-admin";

/// The model of the first ticket.
pub const MODEL: &str = "knots";

/// The number of layers of the model.
pub const LAYERS: u16 = 12;

/// The plain service of the first ticket.
pub const SERVICE: &str = "booking";
