/*!
Model requests over a chain of stages.

A model that does not fit one engine is split by layers over several endpoints. A request runs
through them as a chain of stages. The first stage is the head: it starts each position and receives
the token that the last stage computes for it. Each stage pushes its output to the next one, and the
head streams the tokens to the entry. A whole-model engine is a chain of one stage.

Processes, engines and connections can fail while a request runs. [`StreamMachine`], at the entry,
has failed stages replaced and delivers each token to the caller once and in order. A new route is a
new attempt, and messages of older attempts have no effect. [`StageMachine`], at a stage, saves its
outputs for replay and reuses the KV cache of its engine in a new attempt if it stays valid. Both are
state machines without I/O: an event goes in, actions come out.
*/

mod cache_export;
mod chain_route;
mod fault_kind;
mod layer_range;
mod route_stage;
mod stage_action;
mod stage_cache;
mod stage_limits;
mod stage_machine;
mod stage_output;
mod stage_outputs;
mod stage_session;
mod stage_steps;
mod step_input;
mod step_message;
mod step_payload;
mod step_reply;
mod stop_reason;
mod stream_action;
mod stream_event;
mod stream_failure;
mod stream_limits;
mod stream_machine;
mod stream_order;

pub use self::cache_export::CacheExport;
pub use self::chain_route::ChainRoute;
pub use self::fault_kind::FaultKind;
pub use self::layer_range::LayerRange;
pub use self::route_stage::RouteStage;
pub use self::stage_action::StageAction;
pub use self::stage_limits::StageLimits;
pub use self::stage_machine::StageMachine;
pub use self::stage_output::StageOutput;
pub use self::step_input::StepInput;
pub use self::step_message::StepMessage;
pub use self::step_payload::StepPayload;
pub use self::step_reply::StepReply;
pub use self::stop_reason::StopReason;
pub use self::stream_action::StreamAction;
pub use self::stream_event::StreamEvent;
pub use self::stream_failure::StreamFailure;
pub use self::stream_limits::StreamLimits;
pub use self::stream_machine::StreamMachine;
pub use self::stream_order::StreamOrder;
