/// How long a run may give no sign before something is done.
#[derive(Clone, Copy, Debug)]
pub(super) struct StallWaits {
    /// The time after which its first engine is asked what it waits for, in milliseconds.
    pub(super) ask_ms: u64,
    /// The time after which it is given up, in milliseconds.
    pub(super) move_ms: u64,
}
