use std::sync::Arc;
use std::time::Duration;

use dandelionroad_core::dispatch::CallOrder;
use dandelionroad_core::member::MemberState;
use dandelionroad_core::outcome::RefusalReason;
use dandelionroad_core::route::LoadReport;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

use crate::node::NodeContext;

/// The admission of calls to the plain service.
pub(super) struct CallAdmission {
    concurrency: usize,
    permits: Arc<Semaphore>,
}

impl CallAdmission {
    /// Creates the admission of a process without calls.
    pub(super) fn new(context: &NodeContext) -> CallAdmission {
        let concurrency = context.settings.concurrency.max(1) as usize;
        CallAdmission {
            concurrency,
            permits: Arc::new(Semaphore::new(concurrency)),
        }
    }

    /// Waits for the call's turn, or tells why it is not run.
    pub(super) async fn admit(
        &self,
        context: &NodeContext,
        order: &CallOrder,
    ) -> Result<OwnedSemaphorePermit, RefusalReason> {
        if context.own.borrow().state != MemberState::Live {
            return Err(RefusalReason::Leaving);
        }
        let deadline = Duration::from_millis(order.deadline_in_ms);
        let waiting = self.permits.clone().acquire_owned();
        match tokio::time::timeout(deadline, waiting).await {
            Ok(Ok(permit)) => Ok(permit),
            _ => Err(RefusalReason::Deadline),
        }
    }

    /// Returns the present load; a call counts as one work unit.
    pub(super) fn load(&self) -> LoadReport {
        let free = self.permits.available_permits();
        LoadReport {
            running_units: self.concurrency.saturating_sub(free) as u64,
            ..LoadReport::default()
        }
    }
}
