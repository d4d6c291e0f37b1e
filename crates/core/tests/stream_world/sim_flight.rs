use dandelionroad_core::stream::FaultKind;
use dandelionroad_core::stream::LayerRange;
use dandelionroad_core::stream::StepMessage;
use dandelionroad_core::stream::StepPayload;
use dandelionroad_core::stream::StepReply;
use dandelionroad_core::stream::StopReason;
use dandelionroad_core::stream::StreamEvent;
use dandelionroad_core::stream::StreamOrder;

/// Something on its way to a stage or to the entry.
#[derive(Clone)]
pub(crate) enum Flight {
    /// Session, position, layers and input of an engine step.
    Step(String, u32, LayerRange, StepPayload),
    /// Sender, message, and whether the sender no longer waits for the reply.
    Push(usize, StepMessage, bool),
    /// The attempt and the reply or failure of a push.
    PushResult(u32, Result<StepReply, FaultKind>),
    /// Sender, token, and whether the sender no longer waits for the reply.
    Return(usize, SimToken, bool),
    /// The attempt of a returned token and whether it was acknowledged.
    ReturnResult(u32, bool),
    /// Attempt, stage and kind.
    Fault(u32, usize, FaultKind),
    Cancel,
    CancelSession(String),
    Open(Box<StreamOrder>),
    /// To the entry, in order within the subscription of one attempt.
    Event(u32, StreamEvent),
    /// To the entry.
    Lost(u32),
}

/// A token on its way to the head.
#[derive(Clone)]
pub(crate) struct SimToken {
    pub(crate) attempt: u32,
    pub(crate) position: u32,
    pub(crate) text: String,
    pub(crate) end: Option<StopReason>,
}
