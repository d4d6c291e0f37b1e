use dandelionroad_core::stream::StageMachine;
use dandelionroad_core::stream::StreamEvent;
use dandelionroad_core::time::MilliTime;
use tokio::sync::mpsc::UnboundedSender;

use crate::endpoint::admission::WorkPermit;
use crate::node::RunningRequest;
use crate::telemetry::HopSpan;

/// What the tasks of one request share.
pub(super) struct SlotState {
    /// The decisions.
    pub(super) machine: StageMachine,
    /// The subscription of the entry and its attempt (head only).
    pub(super) sink: Option<(u32, UnboundedSender<StreamEvent>)>,
    /// The admission (head only); given back when the answer is whole.
    pub(super) permit: Option<WorkPermit>,
    /// Keeps a leaving process alive; given back when the entry has the whole answer.
    pub(super) running: Option<RunningRequest>,
    /// The span of the stage, which ends with `running`.
    pub(super) span: Option<HopSpan>,
    /// When the request was last heard of.
    pub(super) last_activity: MilliTime,
}
