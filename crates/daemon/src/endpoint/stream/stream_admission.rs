use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use dandelionroad_core::member::MemberState;
use dandelionroad_core::outcome::RefusalReason;
use dandelionroad_core::route::LoadReport;
use dandelionroad_core::stream::StreamOrder;
use tokio::sync::Semaphore;

use crate::node::NodeContext;

use super::stream_permit::StreamPermit;

/// The assumed length of a prompt token in bytes.
const PROMPT_TOKEN_BYTES: usize = 4;

/// The time after which a refused request may find room again, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// The admission of model requests at the head of their route.
pub(super) struct StreamAdmission {
    context: Arc<NodeContext>,
    permits: Arc<Semaphore>,
    queued_units: AtomicU64,
    running_units: Arc<AtomicU64>,
}

/// Work in the queue; leaves it when dropped.
struct QueuedUnits<'a>(&'a AtomicU64, u64);

impl Drop for QueuedUnits<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(self.1, Ordering::Relaxed);
    }
}

impl StreamAdmission {
    /// Creates the admission with an empty queue.
    pub(super) fn new(context: Arc<NodeContext>) -> StreamAdmission {
        let concurrency = context.settings.concurrency.max(1) as usize;
        StreamAdmission {
            permits: Arc::new(Semaphore::new(concurrency)),
            queued_units: AtomicU64::new(0),
            running_units: Arc::new(AtomicU64::new(0)),
            context,
        }
    }

    /// Waits for the request's turn, or refuses it with the time after which to retry.
    pub(super) async fn admit(
        &self,
        order: &StreamOrder,
    ) -> Result<StreamPermit, (RefusalReason, u64)> {
        if self.is_leaving() {
            return Err((RefusalReason::Leaving, RETRY_AFTER_MS));
        }
        let units = work_units(order);
        let queued = self.queued_units.fetch_add(units, Ordering::Relaxed);
        let _queued = QueuedUnits(&self.queued_units, units);
        if queued > 0 && queued + units > self.context.settings.queue_units {
            return Err((RefusalReason::Overloaded, RETRY_AFTER_MS));
        }
        let deadline = Duration::from_millis(order.deadline_in_ms);
        let waiting = self.permits.clone().acquire_owned();
        let Ok(Ok(permit)) = tokio::time::timeout(deadline, waiting).await else {
            return Err((RefusalReason::Deadline, RETRY_AFTER_MS));
        };
        let running = self.running_units.clone();
        Ok(StreamPermit::new(permit, units, running))
    }

    /// Returns whether this process takes no new work.
    pub(super) fn is_leaving(&self) -> bool {
        self.context.own.borrow().state != MemberState::Live
    }

    /// Returns the present load.
    pub(super) fn load(&self) -> LoadReport {
        LoadReport {
            queued_units: self.queued_units.load(Ordering::Relaxed),
            running_units: self.running_units.load(Ordering::Relaxed),
            units_per_second: 0,
        }
    }
}

fn work_units(order: &StreamOrder) -> u64 {
    let prompt = order.prompt.len().div_ceil(PROMPT_TOKEN_BYTES) as u64;
    prompt + u64::from(order.max_tokens)
}
