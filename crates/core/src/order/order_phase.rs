/// The phase of an [`OrderMachine`](super::OrderMachine).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderPhase {
    /// No target is set.
    Idle,
    /// The engine's state is being read.
    Reading,
    /// The endpoint asks to leave the row of ready endpoints.
    LeavingReady,
    /// The requests that run on the engine are finishing.
    Draining,
    /// A turn to load from the weight store is being acquired.
    TakingTurn,
    /// The engine is being ordered to load.
    Ordering,
    /// The engine is loading; its state is read until the load is complete.
    Loading,
    /// The engine holds its target.
    Ready,
}
