use std::cmp::Reverse;
use std::collections::BinaryHeap;

use dandelionroad_core::chain::ThroughputBound;
use dandelionroad_core::relay::CapacityQueue;
use dandelionroad_core::relay::EngineRecord;
use dandelionroad_core::relay::EngineTable;
use dandelionroad_core::relay::RequestSize;
use dandelionroad_core::time::MilliTime;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::ChainReport;
use super::ChainSetup;
use super::SharingPolicy;
use super::chain_engine::ChainEngine;
use super::chain_entry::ChainEntry;
use super::chain_event::ChainEvent;
use super::chain_request::ChainRequest;
use super::chain_tally::ChainTally;
use super::waiting_request::WaitingRequest;

/// The service of all engines.
pub(super) const SERVICE: &str = "model";

/// The time between two reports of an entry, in milliseconds.
pub(super) const REPORT_MS: f64 = 100.0;

/// The share of the wanted time to the first event for which requests wait, as in the product.
const WAIT_DIVISOR: u64 = 2;

/// Engines, entries and requests in simulated time.
pub(super) struct ChainWorld<'a> {
    pub(super) setup: &'a ChainSetup<'a>,
    pub(super) rng: ChaCha8Rng,
    /// In microseconds.
    pub(super) now: u64,
    pub(super) events: BinaryHeap<Reverse<(u64, ChainEvent)>>,
    pub(super) engines: Vec<ChainEngine>,
    pub(super) ids: Vec<String>,
    pub(super) entries: Vec<ChainEntry>,
    pub(super) requests: Vec<ChainRequest>,
    pub(super) tally: ChainTally,
}

impl<'a> ChainWorld<'a> {
    pub(super) fn new(setup: &'a ChainSetup<'a>) -> ChainWorld<'a> {
        let placed = setup
            .engines
            .iter()
            .filter(|engine| !engine.layers.is_empty());
        let mut engines = Vec::new();
        let mut records = Vec::new();
        for (number, engine) in placed.enumerate() {
            let Some(kind) = setup.shape.kind(&engine.kind) else {
                continue;
            };
            engines.push(ChainEngine::new(setup.shape, kind, engine.layers));
            records.push(EngineRecord {
                id: engine.id.clone(),
                service: SERVICE.to_owned(),
                address: ([127, 0, 0, 1], number as u16 + 1).into(),
                zone: engine.zone.clone(),
                is_draining: false,
                slots: setup.shape.slots,
                kind: Some(engine.kind.clone()),
                layers: engine.layers,
                started_ms: 0,
            });
        }
        let mut entries = Vec::new();
        for line in &setup.fleet.entries {
            for _ in 0..line.count {
                let mut table = EngineTable::new();
                table.replace(records.clone(), MilliTime::from_millis(0));
                entries.push(ChainEntry {
                    zone: line.zone.clone(),
                    table,
                    queue: CapacityQueue::new(),
                    waiting: Vec::new(),
                    near_report: Vec::new(),
                    far_report: Vec::new(),
                    rounds: 0,
                });
            }
        }
        let mut world = ChainWorld {
            setup,
            rng: ChaCha8Rng::seed_from_u64(setup.seed),
            now: 0,
            events: BinaryHeap::new(),
            ids: records.into_iter().map(|record| record.id).collect(),
            engines,
            entries,
            requests: Vec::new(),
            tally: ChainTally::new(setup.seconds),
        };
        if setup.policy == SharingPolicy::FixedShares {
            world.fix_shares();
        }
        world.after(0.0, ChainEvent::Arrival);
        for entry in 0..world.entries.len() {
            let phase = world.rng.random_range(0.0..REPORT_MS);
            world.after(phase, ChainEvent::Report(entry));
        }
        world
    }

    /// Runs until the last request that arrived has ended.
    pub(super) fn run(mut self) -> ChainReport {
        let end = self.setup.seconds * 1_000_000;
        while let Some(Reverse((time, event))) = self.events.pop() {
            self.now = time;
            match event {
                ChainEvent::Arrival if time >= end => {}
                ChainEvent::Arrival => self.arrive(),
                ChainEvent::PassEnd(engine) => self.end_pass(engine),
                ChainEvent::Hop {
                    request,
                    part,
                    is_prompt,
                } => self.hop(request, part, is_prompt),
                ChainEvent::Report(_) if time >= end => {}
                ChainEvent::Report(entry) => self.report(entry),
                ChainEvent::WaitEnd { entry, number } => self.end_wait(entry, number),
            }
        }
        let bound = ThroughputBound::new(self.setup.shape)
            .fleet_rate(self.setup.engines, &self.setup.fleet.mean_request());
        self.tally.report(self.setup.policy, bound)
    }

    pub(super) fn now_ms(&self) -> f64 {
        self.now as f64 / 1_000.0
    }

    pub(super) fn clock(&self) -> MilliTime {
        MilliTime::from_millis(self.now / 1_000)
    }

    pub(super) fn after(&mut self, millis: f64, event: ChainEvent) {
        let time = self.now + (millis * 1_000.0) as u64;
        self.events.push(Reverse((time, event)));
    }

    fn arrive(&mut self) {
        let fleet = self.setup.fleet;
        let per_ms = fleet.per_second() * self.setup.load / 1_000.0;
        let is_surge = self.is_surge();
        let mut shares = fleet.account_shares.clone();
        if is_surge && let Some(first) = shares.first_mut() {
            *first *= self.setup.surge;
        }
        let total: f64 = shares.iter().sum();
        let scale = total / fleet.account_shares.iter().sum::<f64>().max(1e-9);
        let pause = -self.rng.random_range(1e-9_f64..1.0).ln() / (per_ms * scale);
        self.after(pause, ChainEvent::Arrival);
        let account = pick(&mut self.rng, shares.iter().copied());
        let class = pick(
            &mut self.rng,
            fleet.classes.iter().map(|class| class.per_second),
        );
        let class = &fleet.classes[class];
        // Sizes spread evenly to twice the mean; estimates are right at the median and off by two.
        let prompt = class.prompt_tokens * self.rng.random_range(0.1..1.9);
        let answer = class.answer_tokens * self.rng.random_range(0.1..1.9);
        let estimate = answer * 2.0_f64.powf(self.rng.random_range(-1.0..1.0));
        let entry = self.rng.random_range(0..self.entries.len());
        self.tally.offered(is_surge, account > 0);
        self.requests.push(ChainRequest {
            entry,
            account,
            size: RequestSize {
                prompt_tokens: prompt as u32,
                max_output_tokens: (class.answer_tokens * 4.0) as u32,
                output_estimate: Some(estimate as u32),
            },
            answer_tokens: answer.max(1.0),
            target_ms: class.target_ms,
            gap_ms: class.gap_ms,
            arrived: self.now_ms(),
            first: None,
            last_event: 0.0,
            longest_gap: 0.0,
            written: 0.0,
            chain: Vec::new(),
            is_reading: false,
        });
        let request = self.requests.len() - 1;
        let is_first = self.entries[entry].waiting.is_empty();
        if is_first && let Some(chain) = self.find(request) {
            self.send(request, &chain);
            return;
        }
        let wait_ms = self.requests[request].target_ms / WAIT_DIVISOR;
        let offered = self.entries[entry].queue.offer(1, account as u64, wait_ms);
        match offered {
            Some(number) => {
                self.entries[entry]
                    .waiting
                    .push(WaitingRequest { number, request });
                self.after(wait_ms as f64, ChainEvent::WaitEnd { entry, number });
            }
            None => self.refuse(request),
        }
    }

    pub(super) fn is_surge(&self) -> bool {
        self.now >= self.setup.seconds * 500_000
    }
}

/// Returns the position of a weight drawn in proportion to the weights.
fn pick(rng: &mut ChaCha8Rng, weights: impl Iterator<Item = f64> + Clone) -> usize {
    let total: f64 = weights.clone().sum();
    let mut left = rng.random_range(0.0..total.max(1e-9));
    for (index, weight) in weights.enumerate() {
        if left < weight {
            return index;
        }
        left -= weight;
    }
    0
}
