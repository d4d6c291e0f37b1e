/*!
The HTTP server and the fault switches that all stand-ins share.
*/

mod connection_cut;
mod fault_plan;
mod fault_switches;
mod server_mode;
mod standin_server;

pub use self::connection_cut::ConnectionCut;
pub use self::fault_plan::FaultPlan;
pub use self::fault_switches::FaultSwitches;
pub use self::server_mode::ServerMode;
pub use self::standin_server::StandinServer;
