use crate::time::MilliTime;

/// The engine session of a stage.
#[derive(Clone, Debug)]
pub(super) struct StageSession {
    /// The name of the session, which changes with each restart.
    pub(super) name: String,
    /// The next position to compute.
    pub(super) next_position: u32,
    /// The position that the engine is computing, and its start time.
    pub(super) running: Option<(u32, MilliTime)>,
    /// Whether a whole-model engine is generating.
    pub(super) is_generating: bool,
    restarts: u32,
}

impl StageSession {
    /// Creates a session without computed positions.
    pub(super) fn new(request: &str, attempt: u32) -> StageSession {
        StageSession {
            name: format!("{request}-{attempt}"),
            next_position: 0,
            running: None,
            is_generating: false,
            restarts: 0,
        }
    }

    /// Resets the session under a new name and returns the old name.
    pub(super) fn restart(&mut self, request: &str, attempt: u32) -> String {
        let restarts = self.restarts + 1;
        let fresh = StageSession {
            name: format!("{request}-{attempt}-{restarts}"),
            restarts,
            ..StageSession::new(request, attempt)
        };
        std::mem::replace(self, fresh).name
    }
}
