use super::EngineView;
use super::LeaveVerdict;
use super::LoadTarget;

/// What an [`OrderMachine`](super::OrderMachine) is told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderEvent {
    /// The configuration wants the engine to hold this, or nothing in particular.
    TargetSet(Option<LoadTarget>),
    /// The engine's state was read, or the read failed.
    EngineRead(Option<EngineView>),
    /// The row of ready endpoints was changed or not; `None` if the table service failed.
    LeaveDecided(Option<LeaveVerdict>),
    /// No request runs on the engine any more.
    Drained,
    /// A turn at the weight store was taken or not; `None` if the table service failed.
    TurnDecided(Option<bool>),
    /// The engine took the order, or it refused or did not answer.
    OrderAnswered(bool),
    /// The endpoint was entered in the row of ready endpoints, or the table service failed.
    JoinAnswered(bool),
    /// Time has passed.
    Tick,
}
