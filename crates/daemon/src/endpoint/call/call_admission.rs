use std::sync::Arc;

use dandelionroad_core::admit::AdmitConfig;
use dandelionroad_core::admit::AdmitItem;
use dandelionroad_core::dispatch::CallOrder;
use dandelionroad_core::member::MemberState;
use dandelionroad_core::outcome::RefusalReason;
use dandelionroad_core::route::LoadReport;

use crate::endpoint::admission::WorkGate;
use crate::endpoint::admission::WorkPermit;
use crate::node::NodeContext;

/// The work of a call, in work units; calls differ little, and their length is unknown in advance.
const CALL_UNITS: u64 = 1;

/// The rate assumed until the first call completes, in work units per second.
const DEFAULT_CALLS_PER_SECOND: u64 = 1_000;

/// Admits calls to the plain service through a queue.
pub(super) struct CallAdmission {
    gate: Arc<WorkGate>,
}

impl CallAdmission {
    /// Creates the admission with an empty queue.
    pub(super) fn new(context: &NodeContext) -> CallAdmission {
        let settings = &context.settings;
        let concurrency = settings.concurrency;
        let config = AdmitConfig::new(settings.queue_units, concurrency, DEFAULT_CALLS_PER_SECOND);
        CallAdmission {
            gate: WorkGate::new(context.clock, config),
        }
    }

    /// Waits until the call may start, or returns the reason why it is refused.
    pub(super) async fn admit(
        &self,
        context: &NodeContext,
        order: &CallOrder,
    ) -> Result<WorkPermit, RefusalReason> {
        if context.local_record.borrow().state != MemberState::Live {
            return Err(RefusalReason::Leaving);
        }
        let item = AdmitItem {
            request: order.request.clone(),
            account: order.account.clone(),
            weight: order.weight,
            priority: order.priority,
            units: CALL_UNITS,
            deadline: context.clock.now().plus(order.deadline_in_ms),
            is_suspect: false,
        };
        let admitted = self.gate.admit(item).await;
        admitted.map_err(|(reason, _)| reason)
    }

    /// Returns the current load; a call counts as one work unit.
    pub(super) fn load_report(&self) -> LoadReport {
        self.gate.load_report()
    }
}
