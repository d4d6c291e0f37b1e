use crate::time::MilliTime;

/// A lost engine on which a run of a request with the part broke off.
#[derive(Clone, Copy, Debug)]
pub(super) struct SuspectCrash {
    /// The hash of the engine's incarnation.
    pub(super) engine: u64,
    /// The time at which the run broke off.
    pub(super) at: MilliTime,
}
