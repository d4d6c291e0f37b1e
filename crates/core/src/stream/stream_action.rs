use super::ChainRoute;
use super::StopReason;
use super::StreamFailure;
use super::StreamOrder;

/// An action that a [`StreamMachine`](super::StreamMachine) requests from the entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StreamAction {
    /// Choose a route without the excluded endpoints and report it.
    ///
    /// With `replace`, as many of the other stages of `current` as possible are kept.
    ChooseRoute {
        /// The route of the last attempt.
        current: Option<ChainRoute>,
        /// The index of the stage of `current` to replace.
        replace: Option<usize>,
    },
    /// Record a crash that the request may have caused, and report whether it may be retried.
    CountCrash {
        /// Whether the machine waits for the report.
        must_wait: bool,
    },
    /// Close the open subscription, if any, and open the stream at the head of the route.
    Open {
        /// The order to send to the head.
        order: Box<StreamOrder>,
        /// Whether a new connection must be used.
        is_new_connection: bool,
    },
    /// Send a token to the caller.
    Deliver {
        /// The text of the token.
        text: String,
    },
    /// End the caller's stream with a complete answer.
    Finish {
        /// Why the answer is complete.
        reason: StopReason,
        /// The number of tokens of the answer.
        tokens: u32,
    },
    /// End the caller's stream with a failure and cancel the request.
    Fail(StreamFailure),
}
