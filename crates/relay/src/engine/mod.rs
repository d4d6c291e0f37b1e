/*!
Connections to engines and endpoints, and the accounting of the load that this process puts on them.
*/

mod answer_count;
mod answer_origin;
mod engine_client;
mod engine_connector;
mod engine_stream;
mod fetch_report;
mod load_guard;
mod loss_check;
mod send_error;
mod stall_probe;
mod work_notice;

use self::answer_count::AnswerCount;
pub use self::answer_origin::AnswerOrigin;
pub use self::engine_client::EngineClient;
pub use self::engine_client::read_whole;
pub use self::fetch_report::fetch_report;
pub use self::load_guard::LoadGuard;
pub use self::loss_check::check_engine_loss;
pub use self::send_error::SendError;
pub use self::stall_probe::probe_silent_engines;
pub use self::stall_probe::probe_stall;
pub use self::stall_probe::record_life_sign;
pub use self::work_notice::record_work_notice;
