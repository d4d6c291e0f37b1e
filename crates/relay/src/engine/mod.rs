/*!
Connections to engines and endpoints.
*/

mod ask_report;
mod engine_client;
mod load_guard;
mod send_error;
mod stall_probe;

pub use self::ask_report::ask_report;
pub use self::engine_client::EngineClient;
pub use self::load_guard::LoadGuard;
pub use self::send_error::SendError;
pub use self::stall_probe::probe_stall;
