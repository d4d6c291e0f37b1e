/*!
The JSON-RPC interfaces between the processes of dandelionroad.

Each interface is a `jsonrpsee` trait that yields a server trait and a client. Messages are bounded
to [`MAX_MESSAGE_BYTES`]; the payload types live in `dandelionroad-core`.

- [`StreamApi`](stream_api) carries model requests: entry to head, stage to stage.
- [`CallApi`](call_api) carries calls to plain services: entry to endpoint.
- [`ControlApi`](control_api) carries gossip and probes between any two processes.
*/

pub mod call_api;
pub mod control_api;
pub mod stream_api;

mod ack;
mod call_answer;
mod probe_reply;
mod stream_item;
mod token_message;

pub use self::ack::Ack;
pub use self::call_answer::CallAnswer;
pub use self::probe_reply::ProbeReply;
pub use self::stream_item::StreamItem;
pub use self::token_message::TokenMessage;

/// The greatest size of a message in bytes.
pub const MAX_MESSAGE_BYTES: u32 = 8 * 1024 * 1024;
