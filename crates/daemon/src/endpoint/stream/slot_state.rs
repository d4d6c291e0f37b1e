use dandelionroad_core::stream::StageMachine;
use dandelionroad_core::stream::StreamEvent;
use dandelionroad_core::time::MilliTime;
use tokio::sync::mpsc::UnboundedSender;

use crate::endpoint::admission::WorkPermit;
use crate::node::RunningRequest;
use crate::telemetry::HopSpan;

/// The state that the tasks of one model request share.
pub(super) struct SlotState {
    /// Decides what happens next to the request at this stage.
    pub(super) machine: StageMachine,
    /// The attempt and the event channel of the entry's subscription (head only).
    pub(super) sink: Option<(u32, UnboundedSender<StreamEvent>)>,
    /// The admission permit (head only), released when the answer is complete.
    pub(super) permit: Option<WorkPermit>,
    /// Delays the exit of a leaving process until the entry has received the whole answer.
    pub(super) running: Option<RunningRequest>,
    /// The trace span of the stage, which ends with `running`.
    pub(super) span: Option<HopSpan>,
    /// The time of the last message for the request, or of the end of its subscription.
    pub(super) last_activity: MilliTime,
}
