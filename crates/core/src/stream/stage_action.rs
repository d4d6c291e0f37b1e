use crate::ident::RequestIdent;

use super::FaultKind;
use super::LayerRange;
use super::StepMessage;
use super::StepPayload;
use super::StopReason;
use super::StreamEvent;
use super::StreamOrder;

/// What a [`StageMachine`](super::StageMachine) asks its process to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StageAction {
    /// Run one step of the layer-range engine and report its output.
    RunStep {
        /// The session of the engine.
        session: String,
        /// The position.
        position: u32,
        /// The layers to run.
        range: LayerRange,
        /// Whether the range ends with the last layer.
        is_last: bool,
        /// The input.
        payload: StepPayload,
    },
    /// Generate with the whole-model engine and report each token.
    Generate {
        /// The session of the engine.
        session: String,
        /// The order of the request, whose `sent` holds the tokens to resume from.
        order: Box<StreamOrder>,
    },
    /// Push inputs to the next stage and report its reply.
    Push {
        /// The internal address of the next stage.
        address: String,
        /// The message.
        message: StepMessage,
    },
    /// Return a token to the head and report whether it was acknowledged.
    ReturnToken {
        /// The internal address of the head.
        address: String,
        /// The request.
        request: RequestIdent,
        /// The attempt.
        attempt: u32,
        /// The position of the token.
        position: u32,
        /// The text of the token.
        text: String,
        /// Set when the model ended its answer with this token.
        end: Option<StopReason>,
    },
    /// Send an event to the entry (head only).
    Emit(StreamEvent),
    /// Report a fault to the head.
    ReportFault {
        /// The internal address of the head.
        address: String,
        /// The attempt.
        attempt: u32,
        /// The position of the faulty stage in the route.
        stage: usize,
        /// How it failed.
        kind: FaultKind,
    },
    /// Free a session of the engine.
    CancelSession {
        /// The session.
        session: String,
    },
    /// Cancel the request at other stages (head only).
    CancelStages {
        /// Their internal addresses.
        addresses: Vec<String>,
    },
    /// Forget the request; a newer attempt runs elsewhere or the request is cancelled.
    Forget,
}
