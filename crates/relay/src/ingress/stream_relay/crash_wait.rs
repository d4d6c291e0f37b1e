//! The pause between a run that may have crashed its engine and the next run of the request.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dandelionroad_core::relay::PartVerdict;
use dandelionroad_core::relay::RunPhase;

use crate::engine::check_engine_loss;
use crate::node::NodeState;

use super::super::crash_check::has_engine_loss;
use super::super::crash_check::has_refused_part;
use super::super::crash_check::has_unproven_part;
use super::super::crash_check::part_verdict;
use super::super::crash_check::record_broken_run;
use super::super::relay_request::RelayRequest;
use super::StreamRelay;
use super::chain_run::ChainRun;

/// The time for which a request with a suspected prompt part waits until it is sent to another engine, in
/// milliseconds.
///
/// Other processes report within it that the part was served, or that it crashed a second engine. A retry at
/// once brings down a second engine, often the first one of another availability zone.
const SETTLE_MS: u64 = 100;

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

    /// Records that a run broke off or stalls, unless that is recorded already.
    pub(super) fn record_broken_run(&mut self, run: &ChainRun) {
        let phase = run.progress.phase();
        if !run.is_recorded {
            let ids: Vec<&str> = run.stages.iter().map(|stage| stage.id.as_str()).collect();
            record_broken_run(&self.state, &self.relay, &ids, phase);
        }
        self.broken_head = run.stages.first().map(|stage| BrokenHead {
            id: stage.id.clone(),
            address: stage.address,
            phase,
        });
    }

    /// Waits for the crash reports about the last run that broke off.
    pub(super) async fn await_crash_reports(&mut self) {
        let head = self.broken_head.take();
        await_crash_reports(Rc::clone(&self.state), Rc::clone(&self.relay), head).await;
    }
}

/// Waits until it is known whether a run crashed its engine and, if so, until other processes have reported what
/// they know about the parts of the prompt.
///
/// Requests whose parts were all served before don't wait, nor do those whose answer was under way unless an
/// engine was lost with an equal request before: hundreds of sound streams run on an engine that fails.
pub(super) async fn await_crash_reports(
    state: Rc<NodeState>,
    relay: Rc<RelayRequest>,
    head: Option<BrokenHead>,
) {
    let Some(head) = head else {
        return;
    };
    let is_suspect = match head.phase {
        RunPhase::Starting => has_unproven_part(&state, &relay),
        RunPhase::Established => has_engine_loss(&state, &relay),
    };
    if !is_suspect {
        return;
    }
    check_engine_loss(&state, &head.id, head.address).await;
    let is_starting = head.phase == RunPhase::Starting;
    if is_starting && part_verdict(&state, &relay) == PartVerdict::Suspected {
        tokio::time::sleep(Duration::from_millis(SETTLE_MS)).await;
    }
}
