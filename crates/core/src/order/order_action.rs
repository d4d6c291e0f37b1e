use super::LoadTarget;

/// What an [`OrderMachine`](super::OrderMachine) asks its process to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderAction {
    /// Read the engine's state; answer with `EngineRead`.
    ReadEngine,
    /// Remove the endpoint from the row of ready endpoints; answer with `LeaveDecided`.
    LeaveReady {
        /// The target whose pool is asked.
        target: LoadTarget,
        /// Whether the engine serves nothing anyway, so that leaving can't be denied.
        forced: bool,
    },
    /// Tell the entries that nothing is served, finish what runs; answer with `Drained`.
    StopServing,
    /// Take a turn at the weight store; answer with `TurnDecided`.
    TakeTurn,
    /// Order the engine to load the target; answer with `OrderAnswered`.
    OrderLoad(LoadTarget),
    /// Give the turn back.
    ReleaseTurn,
    /// Tell the entries that the target is served.
    StartServing(LoadTarget),
    /// Enter the endpoint in the row of ready endpoints; answer with `JoinAnswered`.
    JoinReady(LoadTarget),
}
