use super::EngineView;
use super::LeaveVerdict;
use super::LoadTarget;

/// An input to an [`OrderMachine`](super::OrderMachine).
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderEvent {
    /// The configuration assigns this target to the engine, or none.
    TargetSet(Option<LoadTarget>),
    /// The engine's state was read; `None` if the read failed.
    EngineRead(Option<EngineView>),
    /// The request to leave the ready endpoints was decided; `None` if the table service failed.
    LeaveDecided(Option<LeaveVerdict>),
    /// No request runs on the engine any more.
    Drained,
    /// Whether a turn to load from the weight store was acquired; `None` if the table service
    /// failed.
    TurnDecided(Option<bool>),
    /// The engine accepted the order; false if it refused or did not answer.
    OrderAnswered(bool),
    /// The endpoint was added to the row of ready endpoints; false if the table service failed.
    JoinAnswered(bool),
    /// A periodic tick.
    Tick,
}
