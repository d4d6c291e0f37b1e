/*!
Model requests: the route of a request through the layer ranges, the messages between stages and
the decisions of a stage and of the entry that follows the request.
*/

mod chain_route;
mod fault_kind;
mod layer_range;
mod route_stage;
mod step_input;
mod step_message;
mod step_payload;
mod step_reply;
mod stop_reason;
mod stream_event;
mod stream_order;

pub use self::chain_route::ChainRoute;
pub use self::fault_kind::FaultKind;
pub use self::layer_range::LayerRange;
pub use self::route_stage::RouteStage;
pub use self::step_input::StepInput;
pub use self::step_message::StepMessage;
pub use self::step_payload::StepPayload;
pub use self::step_reply::StepReply;
pub use self::stop_reason::StopReason;
pub use self::stream_event::StreamEvent;
pub use self::stream_order::StreamOrder;
