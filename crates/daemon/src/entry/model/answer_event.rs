use dandelionroad_core::stream::StopReason;
use dandelionroad_core::stream::StreamFailure;

/// An event of the answer to a request, in the order in which the caller receives them.
#[derive(Clone, Debug)]
pub(super) enum AnswerEvent {
    /// The next token.
    Token(String),
    /// The answer is complete.
    Finish {
        /// Why generation ended.
        reason: StopReason,
        /// The number of tokens of the answer.
        tokens: u32,
    },
    /// The request failed; no event follows.
    Fail(StreamFailure),
}
