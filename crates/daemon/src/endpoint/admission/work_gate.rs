use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use dandelionroad_core::admit::AdmitConfig;
use dandelionroad_core::admit::AdmitItem;
use dandelionroad_core::admit::AdmitQueue;
use dandelionroad_core::admit::AdmitRefusal;
use dandelionroad_core::ident::RequestIdent;
use dandelionroad_core::outcome::RefusalReason;
use dandelionroad_core::route::LoadReport;
use tokio::sync::oneshot;

use crate::node::NodeClock;

use super::WorkPermit;

/// The retry time given when a deadline passes in the queue, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// The end of a wait: started, or refused with the time after which to retry, in milliseconds.
type Verdict = Result<(), (RefusalReason, u64)>;

struct GateState {
    queue: AdmitQueue,
    /// The waiting tasks, sorted by the item's identifier.
    waiters: Vec<(RequestIdent, oneshot::Sender<Verdict>)>,
    /// The number of items so far. It is the identifier of the newest item, since the identifier of
    /// the request is not unique in the queue: a request whose stream is reopened is offered twice.
    item_count: u64,
}

/// The admission queue with the tasks that wait in it.
pub struct WorkGate {
    clock: NodeClock,
    state: Mutex<GateState>,
}

/// Removes an item from the queue when its waiting task is dropped.
struct WaitGuard<'a>(&'a WorkGate, Option<RequestIdent>);

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        if let Some(item_id) = self.1.take() {
            self.0.release(&item_id, false);
        }
    }
}

impl WorkGate {
    /// Creates a gate with an empty queue.
    pub fn new(clock: NodeClock, config: AdmitConfig) -> Arc<WorkGate> {
        let state = GateState {
            queue: AdmitQueue::new(config),
            waiters: Vec::new(),
            item_count: 0,
        };
        Arc::new(WorkGate {
            clock,
            state: Mutex::new(state),
        })
    }

    /// Sets the rate at which the endpoint completes work, in work units per second.
    pub fn set_rate(&self, units_per_second: u64) {
        self.state().queue.set_rate(units_per_second);
    }

    /// Waits until an item may start, at most until its deadline.
    ///
    /// # Errors
    ///
    /// Returns the reason of the refusal and the time after which to retry, in milliseconds. A
    /// refused item was not started and never starts.
    pub async fn admit(
        self: &Arc<Self>,
        mut item: AdmitItem,
    ) -> Result<WorkPermit, (RefusalReason, u64)> {
        let limit_ms = item.deadline.since(self.clock.now());
        let (sender, receiver) = oneshot::channel();
        let item_id = {
            let mut state = self.state();
            state.item_count += 1;
            let number = state.item_count.to_string();
            item.request = RequestIdent::parse(&number).expect("digits are valid");
            let item_id = item.request.clone();
            if let Err(index) = find_waiter(&state.waiters, &item_id) {
                state.waiters.insert(index, (item_id.clone(), sender));
            }
            let refusals = state.queue.offer(item, self.clock.now());
            state.refuse(&refusals);
            self.poll(&mut state);
            item_id
        };
        let mut guard = WaitGuard(self, Some(item_id.clone()));
        let waiting = tokio::time::timeout(Duration::from_millis(limit_ms), receiver);
        match waiting.await {
            Ok(Ok(Ok(()))) => {
                guard.1 = None;
                Ok(WorkPermit::new(self.clone(), item_id))
            }
            Ok(Ok(Err(refusal))) => {
                guard.1 = None;
                Err(refusal)
            }
            // The guard removes the item; if it has just been started, no work has run for it yet.
            _ => Err((RefusalReason::Deadline, RETRY_AFTER_MS)),
        }
    }

    /// Returns the current load of the queue.
    pub fn load_report(&self) -> LoadReport {
        self.state().queue.load()
    }

    /// Removes an item and starts the next ones.
    ///
    /// The service time of a completed item updates the estimate of the rate.
    pub(super) fn release(&self, item_id: &RequestIdent, is_completed: bool) {
        let mut state = self.state();
        if let Ok(index) = find_waiter(&state.waiters, item_id) {
            state.waiters.remove(index);
        }
        if is_completed {
            state.queue.finish(item_id, self.clock.now());
        } else {
            state.queue.cancel(item_id);
        }
        self.poll(&mut state);
    }

    fn poll(&self, state: &mut GateState) {
        let batch = state.queue.poll(self.clock.now());
        state.refuse(&batch.refused);
        for item in &batch.started {
            state.notify(&item.request, Ok(()));
        }
    }

    fn state(&self) -> MutexGuard<'_, GateState> {
        self.state
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }
}

impl GateState {
    fn refuse(&mut self, refusals: &[AdmitRefusal]) {
        for refusal in refusals {
            let verdict = Err((refusal.reason, refusal.retry_after_ms));
            self.notify(&refusal.request, verdict);
        }
    }

    fn notify(&mut self, item_id: &RequestIdent, verdict: Verdict) {
        if let Ok(index) = find_waiter(&self.waiters, item_id) {
            let (_, sender) = self.waiters.remove(index);
            // Fails if the task is being dropped; its guard then removes the item.
            let _ = sender.send(verdict);
        }
    }
}

fn find_waiter(
    waiters: &[(RequestIdent, oneshot::Sender<Verdict>)],
    item_id: &RequestIdent,
) -> Result<usize, usize> {
    waiters.binary_search_by(|(known, _)| known.cmp(item_id))
}
