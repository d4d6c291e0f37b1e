/*!
Callers: their connections, and the way of one request to its end.
*/

mod admission;
mod caller_body;
mod caller_server;
mod crash_check;
mod engine_reply;
mod plain_driver;
mod readiness_server;
mod refusal;
mod relay_request;
mod request_handler;
mod room_wait;
mod stream_driver;
mod stream_opened;
mod stream_relay;

pub use self::caller_server::CallerServer;
pub use self::readiness_server::serve_readiness;
