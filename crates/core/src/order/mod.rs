/*!
Engine orders: which model version an engine is to hold, and how it gets there.

An [`OrderMachine`] runs in the process beside each engine, which is the only issuer of orders for
that engine. Two rows in the table service keep several processes from unloading too much at once:
a [`ReadyRow`] for each pool, and a [`TurnRow`] for each turn at the rate-limited weight store.
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
