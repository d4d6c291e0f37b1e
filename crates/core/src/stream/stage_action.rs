use crate::ident::RequestIdent;

use super::FaultKind;
use super::LayerRange;
use super::StepMessage;
use super::StepPayload;
use super::StopReason;
use super::StreamEvent;
use super::StreamOrder;

/// An action that a [`StageMachine`](super::StageMachine) requests from its process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StageAction {
    /// Run one step on the layer-range engine and report its output.
    RunStep {
        /// The engine session.
        session: String,
        /// The position to compute.
        position: u32,
        /// The layers to run.
        range: LayerRange,
        /// Whether the range ends with the last layer of the model.
        is_last: bool,
        /// The input of the position.
        payload: StepPayload,
    },
    /// Generate the answer on the whole-model engine and report each token.
    Generate {
        /// The engine session.
        session: String,
        /// The order, whose `sent` holds the tokens to resume from.
        order: Box<StreamOrder>,
    },
    /// Push inputs to the next stage and report its reply.
    Push {
        /// The internal address of the next stage.
        address: String,
        /// The message to push.
        message: StepMessage,
    },
    /// Return a token to the head and report whether it was acknowledged.
    ReturnToken {
        /// The internal address of the head.
        address: String,
        /// The request that the token belongs to.
        request: RequestIdent,
        /// The attempt that computed the token.
        attempt: u32,
        /// The position of the token.
        position: u32,
        /// The text of the token.
        text: String,
        /// The stop reason, if this token ends the answer.
        end: Option<StopReason>,
    },
    /// Send an event to the entry (head only).
    Emit(StreamEvent),
    /// Report a fault to the head.
    ReportFault {
        /// The internal address of the head.
        address: String,
        /// The attempt in which the stage failed.
        attempt: u32,
        /// The index of the failed stage in the route.
        stage: usize,
        /// How the stage failed.
        kind: FaultKind,
    },
    /// Free a session of the engine.
    CancelSession {
        /// The engine session.
        session: String,
    },
    /// Cancel the request at other stages (head only).
    CancelStages {
        /// The internal addresses of the stages.
        addresses: Vec<String>,
    },
    /// Remove the request, because a newer attempt replaced it or it was cancelled or released.
    Forget,
}
