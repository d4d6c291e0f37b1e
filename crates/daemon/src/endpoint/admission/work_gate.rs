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

/// The retry time told when the deadline passed in the queue, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// The end of a wait: the start, or a refusal with the time after which to retry.
type Verdict = Result<(), (RefusalReason, u64)>;

struct GateState {
    queue: AdmitQueue,
    /// Sorted by ticket.
    waiters: Vec<(RequestIdent, oneshot::Sender<Verdict>)>,
    /// Counts the tickets. A request can be offered twice when its stream is opened again, so that
    /// its own identifier would not be unique in the queue.
    offers: u64,
}

/// The admission queue with the tasks that wait for it.
pub struct WorkGate {
    clock: NodeClock,
    state: Mutex<GateState>,
}

/// Removes an item from the queue if the waiting task is dropped.
struct WaitGuard<'a>(&'a WorkGate, Option<RequestIdent>);

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        if let Some(ticket) = self.1.take() {
            self.0.end(&ticket, false);
        }
    }
}

impl WorkGate {
    /// Creates a gate with an empty queue.
    pub fn new(clock: NodeClock, config: AdmitConfig) -> Arc<WorkGate> {
        let state = GateState {
            queue: AdmitQueue::new(config),
            waiters: Vec::new(),
            offers: 0,
        };
        Arc::new(WorkGate {
            clock,
            state: Mutex::new(state),
        })
    }

    /// Sets the rate of the endpoint in work units per second.
    pub fn set_rate(&self, units_per_second: u64) {
        self.state().queue.set_rate(units_per_second);
    }

    /// Waits for the turn of an item, at most until its deadline.
    ///
    /// # Errors
    ///
    /// Returns why the item is refused and the time after which to retry, in milliseconds. It was
    /// not started, and is not started later.
    pub async fn admit(
        self: &Arc<Self>,
        mut item: AdmitItem,
    ) -> Result<WorkPermit, (RefusalReason, u64)> {
        let limit_ms = item.deadline.since(self.clock.now());
        let (sender, receiver) = oneshot::channel();
        let ticket = {
            let mut state = self.state();
            state.offers += 1;
            let number = state.offers.to_string();
            item.request = RequestIdent::parse(&number).expect("digits are valid");
            let ticket = item.request.clone();
            if let Err(index) = find(&state.waiters, &ticket) {
                state.waiters.insert(index, (ticket.clone(), sender));
            }
            let refusals = state.queue.offer(item, self.clock.now());
            state.refuse(&refusals);
            self.poll(&mut state);
            ticket
        };
        let mut guard = WaitGuard(self, Some(ticket.clone()));
        let waiting = tokio::time::timeout(Duration::from_millis(limit_ms), receiver);
        match waiting.await {
            Ok(Ok(Ok(()))) => {
                guard.1 = None;
                Ok(WorkPermit::new(self.clone(), ticket))
            }
            Ok(Ok(Err(refusal))) => {
                guard.1 = None;
                Err(refusal)
            }
            // The guard takes the item out, started or not; nothing has run under it.
            _ => Err((RefusalReason::Deadline, RETRY_AFTER_MS)),
        }
    }

    /// Returns the present load.
    pub fn load(&self) -> LoadReport {
        self.state().queue.load()
    }

    /// Ends an item, and starts the next ones.
    pub(super) fn end(&self, ticket: &RequestIdent, is_completed: bool) {
        let mut state = self.state();
        if let Ok(index) = find(&state.waiters, ticket) {
            state.waiters.remove(index);
        }
        if is_completed {
            state.queue.finish(ticket, self.clock.now());
        } else {
            state.queue.cancel(ticket);
        }
        self.poll(&mut state);
    }

    fn poll(&self, state: &mut GateState) {
        let batch = state.queue.poll(self.clock.now());
        state.refuse(&batch.refused);
        for item in &batch.started {
            state.tell(&item.request, Ok(()));
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
            self.tell(&refusal.request, verdict);
        }
    }

    fn tell(&mut self, ticket: &RequestIdent, verdict: Verdict) {
        if let Ok(index) = find(&self.waiters, ticket) {
            let (_, sender) = self.waiters.remove(index);
            // A task that is being dropped takes its item out of the queue itself.
            let _ = sender.send(verdict);
        }
    }
}

fn find(
    waiters: &[(RequestIdent, oneshot::Sender<Verdict>)],
    ticket: &RequestIdent,
) -> Result<usize, usize> {
    waiters.binary_search_by(|(known, _)| known.cmp(ticket))
}
