/// Where an [`OrderMachine`](super::OrderMachine) stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderPhase {
    /// Nothing is wanted.
    Idle,
    /// The engine's state is being read.
    Reading,
    /// The row of ready endpoints is being asked whether the endpoint may leave.
    LeavingReady,
    /// The requests that run on the engine are being finished.
    Draining,
    /// A turn at the weight store is being taken.
    TakingTurn,
    /// The engine is being ordered to load.
    Ordering,
    /// The engine loads; its state is read until the load is complete.
    Loading,
    /// The engine holds its target.
    Ready,
}
