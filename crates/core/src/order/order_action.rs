use super::LoadTarget;

/// An action that an [`OrderMachine`](super::OrderMachine) requests from its process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderAction {
    /// Read the engine's state; answered by `EngineRead`.
    ReadEngine,
    /// Remove the endpoint from the row of ready endpoints; answered by `LeaveDecided`.
    LeaveReady {
        /// The target, whose pool the endpoint leaves.
        target: LoadTarget,
        /// Whether the engine serves nothing, so that leaving can't be denied.
        forced: bool,
    },
    /// Announce to the entries that nothing is served and finish running requests; answered by
    /// `Drained`.
    StopServing,
    /// Acquire a turn to load from the weight store; answered by `TurnDecided`.
    TakeTurn,
    /// Order the engine to load the target; answered by `OrderAnswered`.
    OrderLoad(LoadTarget),
    /// Release the turn.
    ReleaseTurn,
    /// Announce to the entries that the target is served.
    StartServing(LoadTarget),
    /// Add the endpoint to the row of ready endpoints; answered by `JoinAnswered`.
    JoinReady(LoadTarget),
}
