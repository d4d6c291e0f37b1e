//! The fault of a simulation and the reactions of the entries.

use dandelionroad_core::ident::EndpointName;
use dandelionroad_core::outcome::RefusalReason;
use dandelionroad_core::route::FlowGraph;
use dandelionroad_core::route::FlowLink;
use dandelionroad_core::route::FlowNode;

use super::SimFault;
use super::fleet::endpoint_name;
use super::sim_clock::MILLI_US;
use super::sim_clock::SECOND_US;
use super::sim_clock::milli_time;
use super::sim_event::SimEvent;
use super::sim_work::SimWork;
use super::sim_world::ENTRY_DELAY_US;
use super::sim_world::SimWorld;

/// The time from the loss of an engine until the entries detect it, because its stage makes no progress.
const DETECTION_DELAY_US: u64 = 500 * MILLI_US;

/// The time from the loss of a member until it is marked `gone`: three missed probes and the time for
/// refutation.
const GONE_DELAY_US: u64 = 6 * SECOND_US;

/// The time from a change of a link's rate until the estimate follows it.
const LINK_ESTIMATE_DELAY_US: u64 = SECOND_US;

/// The time for which an entry avoids a failed endpoint, in milliseconds.
const AVOID_MS: u64 = 10_000;

impl SimWorld {
    /// Updates the plans of all entries to the present members and link rates.
    pub(super) fn update_plans(&mut self) {
        let (nodes, links) = (self.live_nodes(), self.fleet.links.clone());
        for entry in &mut self.entries {
            entry.set_plan(&nodes, &links);
        }
    }

    fn live_nodes(&self) -> Vec<FlowNode> {
        let alive =
            |(index, node): (usize, &FlowNode)| self.engines[index].is_alive.then(|| node.clone());
        self.fleet
            .nodes
            .iter()
            .enumerate()
            .filter_map(alive)
            .collect()
    }

    /// Starts the fault and schedules its detection by the entries.
    pub(super) fn start_fault(&mut self) {
        if self.setup.fault == SimFault::Loss {
            for engine in (3..self.engines.len()).step_by(10) {
                self.engines[engine].kill();
            }
            self.schedule(self.now_us + GONE_DELAY_US, SimEvent::UpdatePlans);
        } else {
            let slow: &mut FlowLink = &mut self.fleet.links[0];
            slow.tokens_per_second /= 100;
            self.links.set_rates(&self.fleet.links);
            self.schedule(self.now_us + LINK_ESTIMATE_DELAY_US, SimEvent::UpdatePlans);
        }
        self.schedule(
            self.now_us + DETECTION_DELAY_US,
            SimEvent::DetectLostEngines,
        );
        self.bound_after = FlowGraph::new(self.fleet.layers, &self.live_nodes(), &self.fleet.links)
            .plan()
            .bound();
    }

    /// Replaces the lost stages of all requests in flight, and avoids the lost engines.
    pub(super) fn replace_lost_stages(&mut self) {
        let until = milli_time(self.now_us).plus(AVOID_MS);
        let lost: Vec<EndpointName> = (0..self.engines.len())
            .filter(|engine| !self.engines[*engine].is_alive)
            .map(endpoint_name)
            .collect();
        for entry in &mut self.entries {
            lost.iter().for_each(|name| entry.picker.avoid(name, until));
        }
        for index in 0..self.requests.len() {
            let request = &self.requests[index];
            let is_lost = |stage: &(usize, _)| !self.engines[stage.0].is_alive;
            if let Some(stage) = request.route.iter().position(is_lost) {
                self.replace_stage(index, stage, &lost);
            }
        }
    }

    /// Replaces a lost stage of a request; refuses the request if no engines can replace it.
    fn replace_stage(&mut self, index: usize, stage: usize, lost: &[EndpointName]) {
        let request = &mut self.requests[index];
        let units = request.units();
        let entry = &mut self.entries[request.entry];
        entry.update_load(&request.route, units, false);
        request.attempt += 1;
        let (lost_head, range) = (stage == 0, request.route[stage].1);
        let Some(stages) = entry.choose_replacement(range, units, lost, self.now_us) else {
            request.is_ended = true;
            let account = request.spec.account;
            self.tally
                .record_refusal(account, RefusalReason::NoEndpoint);
            return;
        };
        request.route.splice(stage..=stage, stages);
        entry.update_load(&request.route, units, true);
        let attempt = request.attempt;
        if lost_head {
            let event = SimEvent::ArriveAtHead {
                request: index,
                attempt,
            };
            self.schedule(self.now_us + ENTRY_DELAY_US, event);
            return;
        }
        if !request.is_started {
            // The request is still queued at its head and keeps its place there.
            return;
        }
        let engine = request.route[stage].0;
        let work = SimWork {
            request: index,
            attempt,
            stage,
            units: request.replay_units(),
        };
        self.schedule(
            self.now_us + ENTRY_DELAY_US,
            SimEvent::Work { engine, work },
        );
    }
}
