/*!
The HTTP server with fault injection that the stand-ins other than engines are built on.

The handlers of a stand-in call [`FaultSwitches`] before and after the effect of each request, which
delays the request, freezes it, or cuts its connection as the [`FaultPlan`] demands.
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
