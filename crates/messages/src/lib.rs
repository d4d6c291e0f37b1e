/*!
The JSON-RPC interfaces between the processes of dandelionroad.

Each interface is a trait from which `jsonrpsee` generates a server trait and a client. A message has
at most [`MAX_MESSAGE_BYTES`]; most payload types are defined in `dandelionroad-core`.

- [`StreamApi`](stream_api) serves model requests: between the entry and the head, which is the
  endpoint of the first stage, and between the stages.
- [`CallApi`](call_api) serves calls to plain services, from the entry to the endpoint.
- [`ControlApi`](control_api) serves gossip and probes between any two processes.
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

/// The maximum size of a message, in bytes.
pub const MAX_MESSAGE_BYTES: u32 = 8 * 1024 * 1024;
