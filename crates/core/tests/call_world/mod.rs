//! A simulated world of requests with one key, under random interleavings.
//!
//! The world contains the store, the service, endpoint processes and the requests of one key. Each
//! step carries out one pending action of one machine, so that any machine can pause between any
//! two of its actions while others continue.

mod endpoint;
mod samples;
mod store;

use std::mem;

use dandelionroad_core::dispatch::CallAction;
use dandelionroad_core::dispatch::CallEvent;
use dandelionroad_core::dispatch::CallMachine;
use dandelionroad_core::dispatch::CallRow;
use dandelionroad_core::dispatch::CallState;
use dandelionroad_core::dispatch::DispatchAction;
use dandelionroad_core::dispatch::DispatchMachine;
use dandelionroad_core::dispatch::RowChange;
use dandelionroad_core::dispatch::RowKey;
use dandelionroad_core::dispatch::RunnerIdent;
use dandelionroad_core::dispatch::ServiceResult;
use dandelionroad_core::dispatch::VersionedRow;
use dandelionroad_core::outcome::RefusalReason;
use dandelionroad_core::outcome::RequestOutcome;
use dandelionroad_core::time::MilliTime;

use self::samples::answered_result;
use self::samples::fingerprint;
use self::samples::key;
use self::samples::order;

const FAULTY_STEPS: usize = 160;
const ENDPOINTS: usize = 3;
const MAX_REQUESTS: usize = 4;
const DEADLINE_MS: u64 = 400;

/// One request at an entry; it has no machine if its entry crashed.
struct Request {
    machine: Option<CallMachine>,
    pending: Vec<CallAction>,
    tried: Vec<usize>,
    /// The step at which the order was sent whose reply is awaited.
    awaited: Option<usize>,
    /// The step at which the first order was sent.
    first_sent_at: Option<usize>,
    outcome: Option<CallAction>,
}

/// One attempt in an endpoint's process.
struct Attempt {
    machine: DispatchMachine,
    pending: Vec<DispatchAction>,
    key: RowKey,
    endpoint: usize,
    incarnation: u64,
    request: usize,
    /// The step at which the entry sent the order.
    sent_at: usize,
    has_deadline_passed: bool,
}

/// A run at the service.
#[derive(Debug)]
struct Run {
    request: usize,
    /// The step at which the request sent its first order.
    first_sent_at: usize,
}

pub(crate) struct World {
    random: u64,
    step: usize,
    now: MilliTime,
    is_store_up: bool,
    has_faults: bool,
    rows: Vec<(RowKey, VersionedRow)>,
    last_version: u64,
    /// The commits whose answers were lost and that take effect later.
    delayed: Vec<RowChange>,
    incarnations: [u64; ENDPOINTS],
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    runs: Vec<Run>,
    /// The steps at which an attempt was made void for a `not-run` refusal.
    refusal_steps: Vec<usize>,
    /// The attempts whose calls lost their answers, so that their rows stay dispatched.
    lost_calls: Vec<RowKey>,
}

impl World {
    pub(crate) fn new(seed: u64) -> World {
        World {
            random: seed | 1,
            step: 0,
            now: MilliTime::from_millis(0),
            is_store_up: true,
            has_faults: true,
            rows: Vec::new(),
            last_version: 0,
            delayed: Vec::new(),
            incarnations: [0; ENDPOINTS],
            requests: Vec::new(),
            attempts: Vec::new(),
            runs: Vec::new(),
            refusal_steps: Vec::new(),
            lost_calls: Vec::new(),
        }
    }

    /// Draws a number below `end` with xorshift64*.
    fn draw(&mut self, end: usize) -> usize {
        self.random ^= self.random >> 12;
        self.random ^= self.random << 25;
        self.random ^= self.random >> 27;
        (self.random.wrapping_mul(0x2545_F491_4F6C_DD1D) >> 33) as usize % end
    }

    /// Decides at random, once in `one_in` calls, whether a fault occurs.
    fn draw_fault(&mut self, one_in: usize) -> bool {
        self.draw(one_in) == 0 && self.has_faults
    }

    pub(crate) fn run(&mut self) {
        self.start_request();
        for step in 0..FAULTY_STEPS {
            self.step = step;
            match self.draw(16) {
                0 if self.requests.len() < MAX_REQUESTS => self.start_request(),
                1 if self.draw_fault(4) => self.is_store_up = !self.is_store_up,
                2 if self.draw_fault(4) => self.crash_entry(),
                3 if self.draw_fault(4) => self.restart_endpoint(),
                4 => self.apply_delayed(),
                5 => self.now = self.now.plus([1, 60, 600][self.draw(3)]),
                6..=10 => self.step_request(),
                _ => self.step_attempt(),
            }
        }
        self.has_faults = false;
        self.is_store_up = true;
        for _ in 0..2_000 {
            self.step += 1;
            self.now = self.now.plus(20);
            self.apply_delayed();
            self.step_request();
            self.step_attempt();
        }
    }

    pub(crate) fn check(&self) {
        assert!(
            self.runs.len() <= 1,
            "the service ran the key more than once: {:?}",
            self.runs
        );
        for (index, request) in self.requests.iter().enumerate() {
            let is_settled = request.machine.is_none() || request.outcome.is_some();
            assert!(is_settled, "request {index} was never answered");
            let Some(CallAction::Refuse {
                outcome: RequestOutcome::NotRun,
                ..
            }) = request.outcome
            else {
                continue;
            };
            let own = self.runs.iter().find(|run| run.request == index);
            assert!(
                own.is_none(),
                "request {index} was refused as not-run, but ran: {own:?}"
            );
        }
        for run in &self.runs {
            let refused = self
                .refusal_steps
                .iter()
                .find(|refused| run.first_sent_at < **refused);
            assert!(
                refused.is_none(),
                "the key was refused as not-run at step {refused:?}, but ran later: {run:?}"
            );
        }
        for (key, found) in &self.rows {
            let CallRow::Dispatched {
                runner,
                incarnation,
                ..
            } = &found.row
            else {
                continue;
            };
            let endpoint: usize = runner[1..].parse().unwrap();
            let is_expected =
                self.incarnations[endpoint] != *incarnation || self.lost_calls.contains(key);
            assert!(is_expected, "an abandoned row stays dispatched: {found:?}");
        }
    }

    fn check_refusal(&self, reason: RefusalReason) {
        let is_proven = self.rows.iter().any(|(_, found)| {
            matches!(
                found.row,
                CallRow::Void {
                    is_refusal: true,
                    ..
                }
            )
        });
        assert!(
            is_proven || reason == RefusalReason::StoreDown,
            "refused as not-run ({reason:?}) without a void attempt"
        );
    }

    fn start_request(&mut self) {
        let token = format!("entry-{}", self.requests.len());
        let deadline = self.now.plus(DEADLINE_MS);
        let (machine, pending) = CallMachine::start(key(), fingerprint(), token, deadline, true);
        self.requests.push(Request {
            machine: Some(machine),
            pending,
            tried: Vec::new(),
            awaited: None,
            first_sent_at: None,
            outcome: None,
        });
    }

    fn crash_entry(&mut self) {
        let index = self.draw(self.requests.len());
        let request = &mut self.requests[index];
        if request.outcome.is_none() {
            request.machine = None;
            request.pending.clear();
        }
    }

    fn restart_endpoint(&mut self) {
        let endpoint = self.draw(ENDPOINTS);
        self.incarnations[endpoint] += 1;
        let (lost, kept) = mem::take(&mut self.attempts)
            .into_iter()
            .partition(|attempt| attempt.endpoint == endpoint);
        self.attempts = kept;
        let lost: Vec<Attempt> = lost;
        for attempt in lost {
            self.deliver_reply(attempt.request, attempt.sent_at, CallEvent::ReplyLost);
        }
    }

    fn deliver(&mut self, request: usize, event: CallEvent) {
        let now = self.now;
        if let Some(machine) = &mut self.requests[request].machine {
            let actions = machine.handle(event, now);
            self.requests[request].pending.extend(actions);
        }
    }

    /// Delivers an event to a request, unless it no longer waits for the order of step `sent_at`.
    fn deliver_reply(&mut self, request: usize, sent_at: usize, event: CallEvent) {
        if self.requests[request].awaited == Some(sent_at) {
            self.requests[request].awaited = None;
            self.deliver(request, event);
        }
    }

    fn step_request(&mut self) {
        let index = self.draw(self.requests.len());
        if self.requests[index].pending.is_empty() {
            return;
        }
        let action = self.requests[index].pending.remove(0);
        let event = match action {
            CallAction::ReadRow(key) => match self.read(&key) {
                Some(found) => CallEvent::RowRead(found),
                None => CallEvent::ReadFailed,
            },
            CallAction::Commit(change) => CallEvent::CommitEnded(self.commit(change)),
            CallAction::Record(change) => {
                self.commit(change);
                return;
            }
            CallAction::Forward(key) => return self.forward_order(index, key),
            CallAction::QueryRunner {
                key, incarnation, ..
            } => {
                let is_running = self
                    .attempts
                    .iter()
                    .any(|attempt| attempt.key == key && attempt.incarnation == incarnation);
                let state = if is_running {
                    CallState::Running
                } else {
                    CallState::Absent
                };
                CallEvent::RunnerQueried((!self.draw_fault(4)).then_some(state))
            }
            CallAction::QueryService => CallEvent::ServiceQueried(match self.runs.is_empty() {
                true => ServiceResult::Lost,
                false => answered_result(),
            }),
            CallAction::ReadBody(body) => CallEvent::BodyRead(Some(body)),
            CallAction::Wait { until } => {
                if self.now < until {
                    self.requests[index]
                        .pending
                        .push(CallAction::Wait { until });
                    return;
                }
                CallEvent::WaitElapsed
            }
            CallAction::Answer { .. } | CallAction::Refuse { .. } => {
                if let CallAction::Refuse {
                    outcome: RequestOutcome::NotRun,
                    reason,
                    ..
                } = action
                {
                    self.check_refusal(reason);
                }
                self.requests[index].outcome = Some(action);
                return;
            }
        };
        self.deliver(index, event);
    }

    fn forward_order(&mut self, index: usize, row: RowKey) {
        let tried = &self.requests[index].tried;
        let free: Vec<usize> = (0..ENDPOINTS)
            .filter(|name| !tried.contains(name))
            .collect();
        if free.is_empty() || self.draw_fault(6) {
            let reason = RefusalReason::NoEndpoint;
            let retry_after_ms = 1_000;
            return self.deliver(
                index,
                CallEvent::ForwardDenied {
                    reason,
                    retry_after_ms,
                },
            );
        }
        let endpoint = free[self.draw(free.len())];
        self.requests[index].tried.push(endpoint);
        if self.draw_fault(8) {
            return self.deliver(index, CallEvent::ForwardUnsent);
        }
        let incarnation = self.incarnations[endpoint];
        let runner = RunnerIdent {
            name: format!("e{endpoint}"),
            address: String::new(),
            incarnation,
        };
        let order = order(row.clone());
        let token = format!("endpoint-{}-{index}", self.step);
        let (machine, pending) =
            DispatchMachine::start(&order, runner, token, self.now).expect("the order has a row");
        self.attempts.push(Attempt {
            machine,
            pending,
            key: row,
            endpoint,
            incarnation,
            request: index,
            sent_at: self.step,
            has_deadline_passed: false,
        });
        self.requests[index].awaited = Some(self.step);
        self.requests[index].first_sent_at.get_or_insert(self.step);
        if self.draw_fault(8) {
            // The connection breaks after the order arrived.
            self.deliver_reply(index, self.step, CallEvent::ReplyLost);
        }
    }
}
