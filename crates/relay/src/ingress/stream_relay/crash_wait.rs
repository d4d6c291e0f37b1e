//! The pause between a run that may have crashed its engine and the next run of the request.

use std::net::SocketAddr;
use std::time::Duration;

use dandelionroad_core::chain::ChainStage;
use dandelionroad_core::relay::PartVerdict;
use dandelionroad_core::relay::RunPhase;

use crate::engine::check_engine_loss;

use super::super::crash_check::has_refused_part;
use super::super::crash_check::part_verdict;
use super::super::crash_check::record_broken_run;
use super::StreamRelay;

/// The time for which a request with a suspected prompt part waits until it is sent to another engine, in
/// milliseconds.
///
/// Other processes report within it that the part was served, or that it crashed a second engine. A retry at
/// once brings down a second engine, often the first one of another availability zone.
const SETTLE_MS: u64 = 100;

/// The first engine of a run that broke off while its answer had only just begun.
#[derive(Debug)]
pub(super) struct BrokenHead {
    id: String,
    address: SocketAddr,
}

impl StreamRelay {
    /// Returns whether the answer of the present run has not begun.
    pub(super) fn is_unbegun(&self) -> bool {
        self.splitter.data_count() == 0
    }

    /// Returns whether the request is refused by now because a part of its prompt crashes engines.
    pub(super) fn is_refused(&self) -> bool {
        !self.relay.is_probe && has_refused_part(&self.state, &self.relay)
    }

    /// Records that the run on a chain broke off.
    pub(super) fn record_broken_run(&mut self, stages: &[ChainStage]) {
        let ids: Vec<&str> = stages.iter().map(|stage| stage.id.as_str()).collect();
        let phase = self.progress.phase();
        record_broken_run(&self.state, &self.relay, &ids, phase);
        let first = stages.first().filter(|_| phase == RunPhase::Starting);
        self.broken_head = first.map(|stage| BrokenHead {
            id: stage.id.clone(),
            address: stage.address,
        });
    }

    /// Waits until it is known whether the last run crashed its engine and, if so, until other processes have
    /// reported what they know about the parts of the prompt.
    ///
    /// Requests whose parts were all served before don't wait.
    pub(super) async fn await_crash_reports(&mut self) {
        let Some(head) = self.broken_head.take() else {
            return;
        };
        let has_unproven = {
            let view = self.state.view.borrow();
            let parts = view.crashes.parts();
            parts.has_unproven(&self.relay.shared_parts)
        };
        if !has_unproven {
            return;
        }
        check_engine_loss(&self.state, &head.id, head.address).await;
        if part_verdict(&self.state, &self.relay) == PartVerdict::Suspected {
            tokio::time::sleep(Duration::from_millis(SETTLE_MS)).await;
        }
    }
}
