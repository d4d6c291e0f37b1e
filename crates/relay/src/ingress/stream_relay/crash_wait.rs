//! The pause between a run that may have crashed its engine and the next run of the request.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

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

/// The maximum time for which a request with a suspected prompt part waits for other requests with it, in
/// milliseconds.
///
/// An engine that is silent rather than lost must not hold up sound requests for longer.
const TRIAL_WAIT_MS: u64 = 1_000;

/// The interval at which such a request looks whether another process has cleared the part, in milliseconds.
const TRIAL_CHECK_MS: u64 = 50;

/// The first engine of a run that broke off.
#[derive(Debug)]
pub(super) struct BrokenHead {
    id: String,
    address: SocketAddr,
    phase: RunPhase,
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
        let first = run.stages.first().map(|stage| BrokenHead {
            id: stage.id.clone(),
            address: stage.address,
            phase,
        });
        if self.runs.is_empty() {
            self.broken_heads.extend(first);
            return;
        }
        // The other runs may go on for long, and other requests must know of the loss.
        let (state, relay) = (Rc::clone(&self.state), Rc::clone(&self.relay));
        spawn_local(async move {
            check_losses(&state, &relay, first.as_slice()).await;
        });
    }

    /// Waits for the crash reports about the runs that broke off since the last attempt.
    ///
    /// The trial of the request ends once the losses of its engines are known.
    pub(super) async fn await_crash_reports(&mut self) {
        let heads = std::mem::take(&mut self.broken_heads);
        let is_suspect = check_losses(&self.state, &self.relay, &heads).await;
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
    heads: Vec<BrokenHead>,
) {
    let is_suspect = check_losses(&state, &relay, &heads).await;
    await_settling(&state, &relay, is_suspect).await;
}

/// Finds out whether engines of suspected runs are lost; returns whether one of these runs was starting.
async fn check_losses(state: &NodeState, relay: &RelayRequest, heads: &[BrokenHead]) -> bool {
    let mut has_starting = false;
    for head in heads {
        let is_suspect = match head.phase {
            RunPhase::Starting => has_unproven_part(state, relay),
            RunPhase::Established => has_engine_loss(state, relay),
        };
        if is_suspect {
            check_engine_loss(state, &head.id, head.address).await;
            has_starting |= head.phase == RunPhase::Starting;
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
