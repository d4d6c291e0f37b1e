use dandelionroad_core::stream::FaultKind;
use dandelionroad_core::stream::LayerRange;
use dandelionroad_core::stream::StepMessage;
use dandelionroad_core::stream::StepPayload;
use dandelionroad_core::stream::StepReply;
use dandelionroad_core::stream::StopReason;
use dandelionroad_core::stream::StreamEvent;
use dandelionroad_core::stream::StreamOrder;

/// A message, engine step or result in flight to a stage or to the entry.
#[derive(Clone)]
pub(crate) enum SimPacket {
    /// The session, position, layers and input of an engine step.
    Step(String, u32, LayerRange, StepPayload),
    /// The sender, the message, and whether the sender no longer waits for the reply.
    Push(usize, StepMessage, bool),
    /// The attempt and the reply or failure of a push.
    PushResult(u32, Result<StepReply, FaultKind>),
    /// The sender, the token, and whether the sender no longer waits for the reply.
    Return(usize, SimToken, bool),
    /// The attempt of a returned token and whether it was acknowledged.
    ReturnResult(u32, bool),
    /// The attempt, the stage and the kind of a fault.
    Fault(u32, usize, FaultKind),
    Cancel,
    CancelSession(String),
    Open(Box<StreamOrder>),
    /// An event to the entry, delivered in order within the subscription of one attempt.
    Event(u32, StreamEvent),
    /// A notice to the entry that the connection of an attempt was lost.
    ConnectionLost(u32),
}

/// A token that the last stage returns to the head.
#[derive(Clone)]
pub(crate) struct SimToken {
    pub(crate) attempt: u32,
    pub(crate) position: u32,
    pub(crate) text: String,
    pub(crate) end: Option<StopReason>,
}
