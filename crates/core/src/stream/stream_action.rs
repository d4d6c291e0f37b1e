use super::ChainRoute;
use super::StopReason;
use super::StreamFailure;
use super::StreamOrder;

/// What a [`StreamMachine`](super::StreamMachine) asks the entry to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StreamAction {
    /// Choose a route without the excluded endpoints and report it.
    ///
    /// With `replace`, the other stages of `current` are to be kept as far as possible.
    ChooseRoute {
        /// The route of the last attempt.
        current: Option<ChainRoute>,
        /// The stage of `current` to replace.
        replace: Option<usize>,
    },
    /// Count a possible crash of the request and report whether it may be retried.
    CountCrash {
        /// Whether the machine waits for the report before it goes on.
        must_wait: bool,
    },
    /// Close the open subscription, if any, and open the stream at the head of its route.
    Open {
        /// The order.
        order: Box<StreamOrder>,
        /// Whether a new connection is to be used.
        is_new_connection: bool,
    },
    /// Pass a token on to the caller.
    Deliver {
        /// The text of the token.
        text: String,
    },
    /// Tell the caller that the answer is whole.
    Finish {
        /// Why the answer ended.
        reason: StopReason,
        /// The number of tokens of the answer.
        tokens: u32,
    },
    /// Tell the caller that there will be no whole answer and cancel the request.
    Fail(StreamFailure),
}
