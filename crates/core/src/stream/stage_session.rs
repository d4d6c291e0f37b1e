use crate::time::MilliTime;

/// The engine session of a stage.
#[derive(Clone, Debug)]
pub(super) struct StageSession {
    /// The name of the session; a session that starts over takes a new one.
    pub(super) name: String,
    /// The next position to compute in the session.
    pub(super) computed: u32,
    /// The position that the engine computes now, and since when.
    pub(super) running: Option<(u32, MilliTime)>,
    /// Whether a whole-model engine generates.
    pub(super) is_generating: bool,
    count: u32,
}

impl StageSession {
    /// Creates a session that has computed nothing.
    pub(super) fn new(request: &str, attempt: u32) -> StageSession {
        StageSession {
            name: format!("{request}-{attempt}"),
            computed: 0,
            running: None,
            is_generating: false,
            count: 0,
        }
    }

    /// Starts over under a new name and returns the old name.
    pub(super) fn restart(&mut self, request: &str, attempt: u32) -> String {
        let count = self.count + 1;
        let fresh = StageSession {
            name: format!("{request}-{attempt}-{count}"),
            count,
            ..StageSession::new(request, attempt)
        };
        std::mem::replace(self, fresh).name
    }
}
