/*!
The messages that a relay exchanges with callers, engines and the store, independent of their
encoding.

Header names, paths and JSON schemas differ between deployments. Each deployment implements
[`WireFormat`], which encodes and decodes the types of this module. An implementation is a pure
translation: it opens no connection, keeps no state and makes no decision.
*/

mod caller_request;
mod decode_error;
mod encoded_call;
mod engine_call;
mod engine_order;
mod engine_report;
mod order_answer;
mod refusal_kind;
mod response_head;
mod retry_after;
mod store_call;
mod store_reply;
mod store_row;
mod store_table;
mod store_write;
mod wire_format;

pub use self::caller_request::CallerRequest;
pub use self::decode_error::DecodeError;
pub use self::encoded_call::EncodedCall;
pub use self::engine_call::EngineCall;
pub use self::engine_order::EngineOrder;
pub use self::engine_report::EngineReport;
pub use self::order_answer::OrderAnswer;
pub use self::refusal_kind::RefusalKind;
pub use self::response_head::ResponseHead;
pub use self::retry_after::RetryAfter;
pub use self::store_call::StoreCall;
pub use self::store_reply::StoreReply;
pub use self::store_row::StoreRow;
pub use self::store_table::StoreTable;
pub use self::store_write::StoreWrite;
pub use self::wire_format::WireFormat;
