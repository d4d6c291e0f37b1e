/*!
Calls to plain services: the messages, the row that makes a call run at most once, and the
decisions of the endpoint that runs a call and of the entry that follows it.
*/

mod call_order;
mod call_reply;
mod call_row;
mod call_state;
mod row_key;

pub use self::call_order::CallOrder;
pub use self::call_reply::CallReply;
pub use self::call_row::CallRow;
pub use self::call_state::CallState;
pub use self::row_key::RowKey;
