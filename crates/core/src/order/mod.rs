/*!
Orders to engines: the model version and layers that an engine loads, and the steps of a rollout.

An engine can't serve while it loads another version, so a rollout that unloads too many engines at
once leaves a pool without service. No process directs a rollout: an [`OrderMachine`] runs in the
process beside each engine, which is the only issuer of orders for that engine, and the processes
synchronize by rows of the table service. A [`ReadyRow`] for each pool decides whether an endpoint
may unload. A turn is the permission to load from the rate-limited weight store; there are few
turns, each with a [`TurnRow`] that names its holder. A [`FenceNumber`] lets engines refuse orders
of processes that were replaced.
*/

mod engine_view;
mod fence_number;
mod leave_verdict;
mod load_target;
mod order_action;
mod order_config;
mod order_event;
mod order_machine;
mod order_phase;
mod ready_entry;
mod ready_row;
mod turn_row;

pub use self::engine_view::EngineView;
pub use self::fence_number::FenceNumber;
pub use self::leave_verdict::LeaveVerdict;
pub use self::load_target::LoadTarget;
pub use self::order_action::OrderAction;
pub use self::order_config::OrderConfig;
pub use self::order_event::OrderEvent;
pub use self::order_machine::OrderMachine;
pub use self::order_phase::OrderPhase;
pub use self::ready_entry::ReadyEntry;
pub use self::ready_row::ReadyRow;
pub use self::turn_row::TurnRow;
