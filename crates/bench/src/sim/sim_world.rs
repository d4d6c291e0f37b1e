use std::collections::BinaryHeap;

use dandelionroad_core::admit::AdmitRefusal;
use dandelionroad_core::admit::RetryBudget;
use dandelionroad_core::admit::WorkUnits;
use dandelionroad_core::ident::EndpointName;
use dandelionroad_core::ident::RequestIdent;
use dandelionroad_core::outcome::RefusalReason;
use dandelionroad_core::route::FlowGraph;
use dandelionroad_core::route::mix_seed;

use super::Fleet;
use super::RunReport;
use super::RunSetup;
use super::SimFault;
use super::fleet::endpoint_name;
use super::sim_clock::MILLI_US;
use super::sim_clock::SECOND_US;
use super::sim_clock::milli_time;
use super::sim_engine::SimEngine;
use super::sim_entry::SimEntry;
use super::sim_event::SimEvent;
use super::sim_links::SimLinks;
use super::sim_request::SimRequest;
use super::sim_tally::SimTally;
use super::sim_work::SimWork;
use super::timed_event::TimedEvent;

/// The one-way delay between an entry and the head of a route.
pub(super) const ENTRY_DELAY_US: u64 = MILLI_US / 2;

/// The interval of a head's load reports.
const REPORT_INTERVAL_US: u64 = 100 * MILLI_US;

/// The delay of load reports under the fault `lag`.
const REPORT_LAG_US: u64 = 5 * SECOND_US;

/// The maximum number of retries of one request after refusals.
const MAX_RETRIES: u32 = 2;

/// The state of a simulation of routing: engines, links, entries, requests and pending events.
pub(super) struct SimWorld {
    pub(super) setup: RunSetup,
    pub(super) fleet: Fleet,
    pub(super) requests: Vec<SimRequest>,
    pub(super) engines: Vec<SimEngine>,
    pub(super) entries: Vec<SimEntry>,
    pub(super) links: SimLinks,
    pub(super) events: BinaryHeap<TimedEvent>,
    /// The number of scheduled events so far.
    pub(super) sequence: u64,
    pub(super) now_us: u64,
    /// The throughput bound before the fault, in tokens per second.
    pub(super) bound: u64,
    /// The throughput bound after the fault, in tokens per second.
    pub(super) bound_after: u64,
    pub(super) tally: SimTally,
}

impl SimWorld {
    pub(super) fn new(setup: &RunSetup) -> SimWorld {
        let fleet = Fleet::new(1);
        let bound = FlowGraph::new(fleet.layers, &fleet.nodes, &fleet.links)
            .plan()
            .bound();
        let units = WorkUnits::default().per_second(bound);
        let specs = setup
            .workload
            .requests(setup.seconds, setup.load, units, setup.seed);
        let entry_of = |index: usize| mix_seed(setup.seed ^ index as u64) as usize % setup.entries;
        let mut world = SimWorld {
            setup: *setup,
            requests: specs
                .iter()
                .enumerate()
                .map(|(index, spec)| SimRequest::new(*spec, entry_of(index)))
                .collect(),
            engines: fleet.nodes.iter().map(SimEngine::new).collect(),
            entries: (0..setup.entries)
                .map(|index| SimEntry::new(setup.policy, &fleet, setup.seed + index as u64 * 7_919))
                .collect(),
            links: SimLinks::new(3, &fleet.links),
            fleet,
            events: BinaryHeap::new(),
            sequence: 0,
            now_us: 0,
            bound,
            bound_after: bound,
            tally: SimTally::default(),
        };
        for (request, spec) in specs.iter().enumerate() {
            world.schedule(spec.arrival_us, SimEvent::Arrive { request });
        }
        world.schedule(0, SimEvent::ReportTick);
        if matches!(setup.fault, SimFault::Loss | SimFault::Link) {
            world.schedule(setup.seconds * SECOND_US / 2, SimEvent::Fault);
        }
        world
    }

    /// Runs until no event is pending, for at most three times the time of arrivals.
    pub(super) fn run(mut self) -> RunReport {
        let end_us = self.setup.seconds * SECOND_US * 3;
        while let Some(timed) = self.events.pop() {
            if timed.time_us > end_us {
                break;
            }
            self.now_us = timed.time_us;
            self.handle(timed.event);
        }
        self.tally
            .report(&self.setup, &self.requests, self.bound, self.bound_after)
    }

    pub(super) fn schedule(&mut self, time_us: u64, event: SimEvent) {
        self.sequence += 1;
        let sequence = self.sequence;
        self.events.push(TimedEvent {
            time_us,
            sequence,
            event,
        });
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrive { request } => self.handle_arrival(request),
            SimEvent::ArriveAtHead { request, attempt } => {
                self.handle_head_arrival(request, attempt)
            }
            SimEvent::Refused {
                request,
                attempt,
                reason,
            } => self.handle_refusal(request, attempt, reason),
            SimEvent::Work { engine, work } => self.push_work(engine, work),
            SimEvent::StepEnd { engine } => self.handle_step_end(engine),
            SimEvent::Token { request, attempt } => self.handle_token(request, attempt),
            SimEvent::ReportTick => self.send_reports(),
            SimEvent::Report { engine, report } => {
                let now = milli_time(self.now_us);
                for entry in &mut self.entries {
                    entry
                        .picker
                        .record_report(&endpoint_name(engine), &report, now);
                }
            }
            SimEvent::Fault => self.start_fault(),
            SimEvent::DetectLostEngines => self.replace_lost_stages(),
            SimEvent::UpdatePlans => self.update_plans(),
        }
    }

    fn handle_arrival(&mut self, index: usize) {
        let entry = self.requests[index].entry;
        self.entries[entry].budget.credit_request();
        self.send(index, &[]);
    }

    /// Chooses a route and sends the request to its head, or refuses it if there is no route.
    fn send(&mut self, index: usize, excluded: &[EndpointName]) {
        let request = &mut self.requests[index];
        let entry = &mut self.entries[request.entry];
        let units = request.units();
        let Some(route) = entry.choose_route(units, excluded, self.now_us) else {
            request.is_ended = true;
            let account = request.spec.account;
            self.tally
                .record_refusal(account, RefusalReason::NoEndpoint);
            return;
        };
        entry.update_load(&route, units, true);
        request.route = route;
        let attempt = request.attempt;
        let event = SimEvent::ArriveAtHead {
            request: index,
            attempt,
        };
        self.schedule(self.now_us + ENTRY_DELAY_US, event);
    }

    fn handle_head_arrival(&mut self, index: usize, attempt: u32) {
        let request = &self.requests[index];
        let head = request.route[0].0;
        if request.attempt != attempt || !self.engines[head].is_alive {
            return;
        }
        let item = request.admit_item(index);
        let refusals = self.engines[head]
            .queue
            .offer(item, milli_time(self.now_us));
        self.send_refusals(&refusals);
        self.poll_queue(head);
    }

    /// Starts the requests that the admission queue of an engine admits.
    fn poll_queue(&mut self, engine: usize) {
        let batch = self.engines[engine].queue.poll(milli_time(self.now_us));
        self.send_refusals(&batch.refused);
        for item in &batch.started {
            let index = request_index(&item.request);
            let request = &mut self.requests[index];
            request.is_started = true;
            let work = SimWork {
                request: index,
                attempt: request.attempt,
                stage: 0,
                units: request.replay_units(),
            };
            self.push_work(engine, work);
        }
    }

    fn send_refusals(&mut self, refusals: &[AdmitRefusal]) {
        for refusal in refusals {
            let request = request_index(&refusal.request);
            let attempt = self.requests[request].attempt;
            let event = SimEvent::Refused {
                request,
                attempt,
                reason: refusal.reason,
            };
            self.schedule(self.now_us + ENTRY_DELAY_US, event);
        }
    }

    /// Retries a refused request at another head if the retry budget allows it.
    fn handle_refusal(&mut self, index: usize, attempt: u32, reason: RefusalReason) {
        let request = &mut self.requests[index];
        if request.attempt != attempt || request.is_ended {
            return;
        }
        let entry = &mut self.entries[request.entry];
        let route = std::mem::take(&mut request.route);
        entry.update_load(&route, request.units(), false);
        request.attempt += 1;
        if request.retries < MAX_RETRIES && entry.budget.take_retry() {
            request.retries += 1;
            self.tally.retries += 1;
            let delay_ms = RetryBudget::delay_ms(request.retries, self.sequence);
            let head = endpoint_name(route[0].0);
            let until = milli_time(self.now_us).plus(delay_ms + 100);
            entry.picker.avoid(&head, until);
            self.send(index, &[head]);
            return;
        }
        request.is_ended = true;
        let account = request.spec.account;
        self.tally.record_refusal(account, reason);
    }

    fn push_work(&mut self, engine: usize, work: SimWork) {
        let request = &self.requests[work.request];
        let is_current = request.attempt == work.attempt;
        if !is_current || !self.engines[engine].is_alive {
            return;
        }
        let account = request.account.clone();
        if let Some(duration_us) = self.engines[engine].push(&account, work) {
            self.schedule(self.now_us + duration_us, SimEvent::StepEnd { engine });
        }
    }

    fn handle_step_end(&mut self, engine: usize) {
        if !self.engines[engine].is_alive {
            return;
        }
        let (finished, duration_us) = self.engines[engine].end_step();
        if let Some(duration_us) = duration_us {
            self.schedule(self.now_us + duration_us, SimEvent::StepEnd { engine });
        }
        for work in finished {
            self.forward_result(engine, work);
        }
    }

    /// Sends the result of a stage to the next stage, or that of the last stage as a token to the head.
    fn forward_result(&mut self, engine: usize, work: SimWork) {
        let request = &self.requests[work.request];
        if request.attempt != work.attempt {
            return;
        }
        let units = if request.generated == 0 {
            request.replay_units()
        } else {
            WorkUnits::default().generated_token
        };
        let from = self.engines[engine].zone;
        let is_last = work.stage + 1 == request.route.len();
        let next = if is_last { 0 } else { work.stage + 1 };
        let target = request.route[next].0;
        let to = self.engines[target].zone;
        if is_last {
            let arrival_us = self.links.send(self.now_us, from, to, 0);
            let (request, attempt) = (work.request, work.attempt);
            self.schedule(arrival_us, SimEvent::Token { request, attempt });
        } else {
            let arrival_us = self.links.send(self.now_us, from, to, units);
            let work = SimWork {
                stage: next,
                units,
                ..work
            };
            self.schedule(
                arrival_us,
                SimEvent::Work {
                    engine: target,
                    work,
                },
            );
        }
    }

    fn handle_token(&mut self, index: usize, attempt: u32) {
        let entry_us = self.now_us + ENTRY_DELAY_US;
        let request = &mut self.requests[index];
        if request.attempt != attempt || request.is_ended {
            return;
        }
        let units = WorkUnits::default();
        let mut delivered = units.generated_token;
        if request.generated == 0 {
            request.first_token_us = entry_us;
            delivered += u64::from(request.spec.prompt_tokens) * units.prompt_token;
            self.tally
                .record_first_token(&self.setup, request, entry_us);
        }
        request.generated += 1;
        let account = request.spec.account;
        self.tally.record_work(entry_us, account, delivered);
        let head = request.route[0].0;
        if request.generated < request.spec.generated_tokens {
            let work = SimWork {
                request: index,
                attempt,
                stage: 0,
                units: units.generated_token,
            };
            self.push_work(head, work);
            return;
        }
        request.is_ended = true;
        self.tally.record_end(request, entry_us);
        let route = std::mem::take(&mut request.route);
        self.entries[request.entry].update_load(&route, request.units(), false);
        if self.engines[head].is_alive {
            let ident = request_ident(index);
            self.engines[head]
                .queue
                .finish(&ident, milli_time(self.now_us));
            self.poll_queue(head);
        }
    }

    fn send_reports(&mut self) {
        let lag_us = match self.setup.fault {
            SimFault::Lag => REPORT_LAG_US,
            _ => ENTRY_DELAY_US,
        };
        for engine in 0..self.engines.len() {
            // Only heads reply to entries, so only they report their load.
            if self.fleet.nodes[engine].range.first == 0 && self.engines[engine].is_alive {
                let report = self.engines[engine].queue.load();
                self.schedule(self.now_us + lag_us, SimEvent::Report { engine, report });
            }
        }
        if self.now_us < self.setup.seconds * SECOND_US {
            self.schedule(self.now_us + REPORT_INTERVAL_US, SimEvent::ReportTick);
        }
    }
}

fn request_ident(index: usize) -> RequestIdent {
    RequestIdent::parse(&index.to_string()).expect("digits are valid")
}

fn request_index(ident: &RequestIdent) -> usize {
    ident.as_str().parse().expect("identifiers are indices")
}
