use dandelionroad_core::stream::StopReason;
use dandelionroad_core::stream::StreamFailure;

/// What the caller is told about its request, in order.
#[derive(Clone, Debug)]
pub(super) enum AnswerEvent {
    /// The next token.
    Token(String),
    /// The answer is whole.
    Finish {
        /// Why it ended.
        reason: StopReason,
        /// The number of its tokens.
        tokens: u32,
    },
    /// There will be no whole answer.
    Fail(StreamFailure),
}
