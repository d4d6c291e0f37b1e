use bytes::Bytes;
use hyper::body::Frame;

use super::head_outcome::HeadOutcome;

/// What arrived next from the first engine of a run.
pub(super) enum RunStep {
    /// The head of the response, or the end of the attempt without one.
    Head(Box<HeadOutcome>),
    /// A frame of the response's body; `None` at its end.
    Frame(Option<Result<Frame<Bytes>, hyper::Error>>),
    /// The buffers of the run are given up, as its engine takes the most memory.
    OutOfBudget,
}
