/*!
Callers' connections, and the handling of one request from its arrival to the end of its response.

A request is admitted by the configuration and read whole. A call of a plain service is sent to one
endpoint, and to another one if that fails or, beside it, if it is silent. A model request is sent to
the first engine of a chain, and its events are forwarded as they arrive; when a run breaks off or
stalls, the stream is resumed on another chain after the last event that the caller received.
*/

mod activity_phase;
mod admission;
mod answer_head;
mod caller_activity;
mod caller_body;
mod caller_server;
mod capacity_search;
mod capacity_wait;
mod crash_check;
mod guarded_body;
mod open_outcome;
mod part_trial;
mod plain_driver;
mod plain_stream;
mod queue_place;
mod readiness_server;
mod refusal;
mod relay_request;
mod request_body;
mod request_guard;
mod request_handler;
mod response_class;
mod send_fault;
mod stream_driver;
mod stream_relay;
mod stream_step;
mod watched_stream;

pub use self::caller_server::CallerServer;
pub use self::readiness_server::serve_readiness;
