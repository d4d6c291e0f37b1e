use dandelionroad_core::outcome::RefusalReason;
use dandelionroad_core::route::LoadReport;

use super::sim_work::SimWork;

/// An event of a simulation.
#[derive(Clone, Copy, Debug)]
pub(super) enum SimEvent {
    /// A request arrives at its entry.
    Arrive { request: usize },
    /// A request arrives at the head of its route, which is the engine of its first stage.
    ArriveAtHead { request: usize, attempt: u32 },
    /// The refusal of a request arrives at its entry.
    Refused {
        request: usize,
        attempt: u32,
        reason: RefusalReason,
    },
    /// Work of a stage arrives at an engine.
    Work { engine: usize, work: SimWork },
    /// An engine ends a step.
    StepEnd { engine: usize },
    /// A token of the last stage arrives at the head.
    Token { request: usize, attempt: u32 },
    /// All heads send load reports.
    ReportTick,
    /// A load report arrives at the entries.
    Report { engine: usize, report: LoadReport },
    /// The fault starts.
    Fault,
    /// The entries detect lost engines through their own connections.
    DetectLostEngines,
    /// The entries receive the changed membership or link rates and update their plans.
    UpdatePlans,
}
