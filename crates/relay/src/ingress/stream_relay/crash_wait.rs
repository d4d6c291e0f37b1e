//! The pause between a run that may have crashed its engine and the next run of the request.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dandelionroad_core::chain::ChainStage;
use dandelionroad_core::relay::PartVerdict;
use dandelionroad_core::relay::RunPhase;
use tokio::task::spawn_local;

use crate::engine::check_engine_loss;
use crate::node::NodeState;

use super::super::crash_check::has_engine_loss;
use super::super::crash_check::has_refused_part;
use super::super::crash_check::has_unproven_part;
use super::super::crash_check::part_verdict;
use super::super::crash_check::record_broken_run;
use super::super::crash_check::suspected_parts;
use super::super::part_trial::PartTrial;
use super::super::relay_request::RelayRequest;
use super::StreamRelay;
use super::chain_run::ChainRun;

/// The time for which a request with a suspected prompt part waits until it is sent to another engine, in
/// milliseconds.
///
/// Other processes report within it that the part was served, or that it crashed a second engine. A retry at
/// once brings down a second engine, often the first one of another availability zone.
const SETTLE_MS: u64 = 100;

/// The time after which a rejection that names another engine of the chain may come from the loss of that engine, in
/// milliseconds.
///
/// An engine that is short of memory turns a request away within a round trip. One that is lost holds up the first
/// engine until its stall time-out, which is seconds.
const LATE_REJECTION_MS: u64 = 500;

/// The maximum time for which a request with a suspected prompt part waits for other requests with it, in
/// milliseconds.
///
/// An engine that is silent rather than lost must not hold up sound requests for longer.
const TRIAL_WAIT_MS: u64 = 1_000;

/// The interval at which such a request looks whether another process has cleared the part, in milliseconds.
const TRIAL_CHECK_MS: u64 = 50;

/// An engine on which a run broke off: the first one of the chain, or the one that the first one names.
#[derive(Debug)]
pub(super) struct BrokenEngine {
    id: String,
    address: SocketAddr,
    phase: RunPhase,
}

impl BrokenEngine {
    fn new(stage: &ChainStage, phase: RunPhase) -> BrokenEngine {
        BrokenEngine {
            id: stage.id.clone(),
            address: stage.address,
            phase,
        }
    }
}

impl StreamRelay {
    /// Returns whether the request is refused by now because a part of its prompt crashes engines.
    pub(super) fn is_refused(&self) -> bool {
        !self.relay.is_probe && has_refused_part(&self.state, &self.relay)
    }

    /// Records that a run broke off or stalls, unless that is recorded already, and has its engine checked: at once
    /// if other runs are in progress, else before the next attempt.
    pub(super) fn record_broken_run(&mut self, run: &ChainRun) {
        let phase = run.progress.phase();
        if !run.is_recorded {
            let ids: Vec<&str> = run.stages.iter().map(|stage| stage.id.as_str()).collect();
            record_broken_run(&self.state, &self.relay, &ids, phase);
        }
        if let Some(first) = run.stages.first() {
            self.check_broken_engine(BrokenEngine::new(first, phase));
        }
    }

    /// Records that a chain turned the request away after a while because of an engine behind the first one, which may
    /// have been lost when it began to run the request.
    ///
    /// Nothing was answered, so the chain says that the request has not run. The loss of the engine decides whether
    /// this counts as a crash.
    pub(super) fn record_late_rejection(&mut self, run: &ChainRun, fault_address: Option<&str>) {
        let waited_ms = self.state.clock.now().since(run.sent_at);
        let mut later = run.stages.iter().skip(1);
        let named = later.find(|stage| fault_address == Some(&stage.address.to_string()));
        let Some(named) = named.filter(|_| waited_ms >= LATE_REJECTION_MS) else {
            return;
        };
        let phase = run.progress.phase();
        if !run.is_recorded {
            record_broken_run(&self.state, &self.relay, &[&named.id], phase);
        }
        self.check_broken_engine(BrokenEngine::new(named, phase));
    }

    /// Has an engine checked on which a run broke off: at once if other runs are in progress, else before the next
    /// attempt.
    fn check_broken_engine(&mut self, engine: BrokenEngine) {
        if self.runs.is_empty() {
            self.broken_engines.push(engine);
            return;
        }
        // The other runs may go on for long, and other requests must know of the loss.
        let (state, relay) = (Rc::clone(&self.state), Rc::clone(&self.relay));
        spawn_local(async move {
            check_losses(&state, &relay, &[engine]).await;
        });
    }

    /// Waits for the crash reports about the runs that broke off since the last attempt.
    ///
    /// The trial of the request ends once the losses of its engines are known.
    pub(super) async fn await_crash_reports(&mut self) {
        let broken = std::mem::take(&mut self.broken_engines);
        let is_suspect = check_losses(&self.state, &self.relay, &broken).await;
        self.trial = None;
        await_settling(&self.state, &self.relay, is_suspect).await;
    }

    /// Waits until no other request with a suspected part of the prompt is on trial, and begins the trial of this one.
    pub(super) async fn await_trials(&mut self) {
        self.trial = await_trials(&self.state, &self.relay).await;
    }

    /// Begins the trial of a request with an unproven part that is sent to an engine, unless it has begun.
    pub(super) fn begin_trial(&mut self) {
        if self.trial.is_none() && has_unproven_part(&self.state, &self.relay) {
            self.trial = Some(PartTrial::begin(&self.state, &self.relay));
        }
    }
}

/// Waits until it is known whether runs crashed their engines and, if so, until other processes have reported what
/// they know about the parts of the prompt.
///
/// Requests whose parts were all served before don't wait, nor do those whose answer was under way unless an
/// engine was lost with an equal request before: hundreds of sound streams run on an engine that fails.
pub(super) async fn await_crash_reports(
    state: Rc<NodeState>,
    relay: Rc<RelayRequest>,
    broken: Vec<BrokenEngine>,
) {
    let is_suspect = check_losses(&state, &relay, &broken).await;
    await_settling(&state, &relay, is_suspect).await;
}

/// Finds out whether engines of suspected runs are lost; returns whether one of these runs was starting.
async fn check_losses(state: &NodeState, relay: &RelayRequest, broken: &[BrokenEngine]) -> bool {
    let mut has_starting = false;
    for engine in broken {
        let is_suspect = match engine.phase {
            RunPhase::Starting => has_unproven_part(state, relay),
            RunPhase::Established => has_engine_loss(state, relay),
        };
        if is_suspect {
            check_engine_loss(state, &engine.id, engine.address).await;
            has_starting |= engine.phase == RunPhase::Starting;
        }
    }
    has_starting
}

/// Waits for the reports of other processes if a part of a request whose run broke off is suspected.
async fn await_settling(state: &NodeState, relay: &RelayRequest, is_suspect: bool) {
    if is_suspect && part_verdict(state, relay) == PartVerdict::Suspected {
        tokio::time::sleep(Duration::from_millis(SETTLE_MS)).await;
    }
}

/// Waits until no request with a suspected part of the prompt is on trial; returns the trial of this request, if a
/// part is suspected.
async fn await_trials(state: &Rc<NodeState>, relay: &RelayRequest) -> Option<PartTrial> {
    let until = state.clock.now().plus(TRIAL_WAIT_MS);
    loop {
        let ended = state.trial_ended.notified();
        let suspected = suspected_parts(state, relay);
        if suspected.is_empty() {
            return None;
        }
        let left_ms = until.since(state.clock.now());
        if left_ms == 0 || !state.part_trials.borrow().is_tried(&suspected) {
            return Some(PartTrial::begin(state, relay));
        }
        let pause = Duration::from_millis(left_ms.min(TRIAL_CHECK_MS));
        let _ = tokio::time::timeout(pause, ended).await;
    }
}
