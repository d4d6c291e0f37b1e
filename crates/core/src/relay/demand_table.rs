use crate::route::hash_text;
use crate::time::MilliTime;

use super::ArrivalRate;
use super::SharedDemand;

/// The part of the free memory of an engine that is divided evenly among its sharers, whatever their demand.
///
/// It lets a process without recent demand send its first requests. The weights of all sharers of one zone still
/// add up to 1, which a minimum for each weight would exceed.
const EVEN_PART: f64 = 0.1;

/// The arrivals below which a process has no demand, in tokens per second.
///
/// Reports are in whole tokens. A single usual request decays to it in about 18 seconds.
const MIN_ARRIVING_TOKENS: f64 = 0.5;

/// The time for which arriving work counts as demand beside the work that waits, in seconds: the interval of the
/// division.
const DIVISION_S: f64 = 0.1;

/// The demand of this process for a service at one priority.
#[derive(Clone, Debug)]
struct OwnDemand {
    /// The hash of the service's name.
    service: u64,
    priority: u8,
    rate: ArrivalRate,
    /// The tokens per second by `rate` at the last arrival or refresh.
    arriving_tokens: f64,
    waiting_tokens: f64,
}

/// The demand for the services under shortage control, of this process and of the others.
///
/// Services are named by `hash_text(0, name)`; reports carry its low 32 bits. A service without demand at any
/// process has no weights, so its engines are divided evenly.
///
/// # Example
///
/// ```
/// use dandelionroad_core::relay::DemandTable;
/// use dandelionroad_core::route::hash_text;
/// use dandelionroad_core::time::MilliTime;
///
/// let service = hash_text(0, "quotes");
/// let mut demand = DemandTable::new("talca");
/// assert_eq!(demand.own_weight(service, "talca", 2), None);
/// demand.record_arrival(service, 1, 800.0, MilliTime::from_millis(100));
/// // The other process of the zone has reported no demand.
/// assert!(demand.own_weight(service, "talca", 2).unwrap() > 0.9);
/// ```
#[derive(Clone, Debug)]
pub struct DemandTable {
    /// The hash of the name of this process's availability zone.
    zone: u64,
    /// Sorted by service and priority.
    own: Vec<OwnDemand>,
    /// The sums over the other processes of each zone, sorted by service, zone and priority.
    peers: Vec<SharedDemand>,
}

impl DemandTable {
    /// Creates the empty table of a process in an availability zone.
    pub fn new(zone: &str) -> DemandTable {
        DemandTable {
            zone: hash_text(0, zone),
            own: Vec::new(),
            peers: Vec::new(),
        }
    }

    /// Records the arrival of a request with `tokens` prompt and expected answer tokens at this process.
    pub fn record_arrival(&mut self, service: u64, priority: u8, tokens: f64, now: MilliTime) {
        let own = self.get_or_insert(service, priority);
        own.rate.record(tokens, now);
        own.arriving_tokens = own.rate.per_ms(now) * 1_000.0;
    }

    /// Sets the prompt and expected answer tokens of this process's requests that wait for capacity.
    pub fn set_waiting(&mut self, service: u64, priority: u8, tokens: f64) {
        self.get_or_insert(service, priority).waiting_tokens = tokens;
    }

    /// Sets the waiting tokens of this process to 0 at all services and priorities.
    pub fn clear_waiting(&mut self) {
        for own in &mut self.own {
            own.waiting_tokens = 0.0;
        }
    }

    /// Replaces the demand of the other processes.
    pub fn set_peer_demands(&mut self, demands: &[SharedDemand]) {
        self.peers.clear();
        for demand in demands {
            let found = self.peers.binary_search_by_key(&sort_key(demand), sort_key);
            match found {
                Ok(index) => {
                    let sum = &mut self.peers[index];
                    sum.waiting_tokens += demand.waiting_tokens;
                    sum.arriving_tokens += demand.arriving_tokens;
                }
                Err(index) => self.peers.insert(index, *demand),
            }
        }
    }

    /// Updates the moving averages of this process's arrivals, and drops those without demand.
    pub fn refresh(&mut self, now: MilliTime) {
        for own in &mut self.own {
            own.arriving_tokens = own.rate.per_ms(now) * 1_000.0;
        }
        self.own.retain(OwnDemand::has_demand);
    }

    /// Returns the demand of this process, to report it to the others, sorted by service and priority.
    pub fn own_demands(&self) -> Vec<SharedDemand> {
        let with_demand = self.own.iter().filter(|own| own.has_demand());
        let demand = |own: &OwnDemand| SharedDemand {
            service: own.service as u32,
            zone: self.zone,
            priority: own.priority,
            waiting_tokens: own.waiting_tokens,
            arriving_tokens: own.arriving_tokens,
        };
        with_demand.map(demand).collect()
    }

    /// Returns the tokens that wait at the other processes with a more urgent priority than this one.
    pub fn waiting_before(&self, service: u64, priority: u8) -> f64 {
        let more_urgent = self.peer_demands(service);
        let more_urgent = more_urgent.filter(|demand| demand.priority < priority);
        more_urgent.map(|demand| demand.waiting_tokens).sum()
    }

    /// Returns the tokens per second that arrive at all processes with this priority.
    ///
    /// This process's part is of its last arrival or [`DemandTable::refresh`].
    pub fn arriving(&self, service: u64, priority: u8) -> f64 {
        let own = self.position(service, priority).ok();
        let own = own.map_or(0.0, |index| self.own[index].arriving_tokens);
        let peers = self.peer_demands(service);
        let peers = peers.filter(|demand| demand.priority == priority);
        own + peers.map(|demand| demand.arriving_tokens).sum::<f64>()
    }

    /// Returns this process's share of the free memory of an engine of `service` in an availability zone, from 0
    /// to 1; `None` if no process has demand for the service.
    ///
    /// `sharers` is the number of processes that share the engine: those of its zone, and this one. The share
    /// follows the work that waits at these processes and that arrives until the next division, except for a small
    /// part that is divided evenly. Processes of other zones don't know how many of them use the engine, so each gets
    /// at most an even share.
    pub fn own_weight(&self, service: u64, zone: &str, sharers: u32) -> Option<f64> {
        let is_own = |own: &&OwnDemand| own.service == service;
        if !self.own.iter().any(|own| is_own(&own)) && self.peer_demands(service).next().is_none() {
            return None;
        }
        let even = 1.0 / f64::from(sharers.max(1));
        let zone = hash_text(0, zone);
        let own = self.own.iter().filter(is_own);
        let own: f64 = own.map(OwnDemand::tokens).sum();
        let peers = self.peer_demands(service);
        let peers = peers.filter(|demand| demand.zone == zone);
        let total = own + peers.map(SharedDemand::tokens).sum::<f64>();
        let by_demand = match total > 0.0 {
            true => own / total,
            false => even,
        };
        let weight = EVEN_PART * even + (1.0 - EVEN_PART) * by_demand;
        match zone == self.zone {
            true => Some(weight),
            false => Some(weight.min(even)),
        }
    }

    /// Returns the tokens that wait at this process, by priority.
    pub fn own_waiting(&self) -> Vec<(u8, f64)> {
        let own = self.own.iter();
        sum_by_priority(own.map(|own| (own.priority, own.waiting_tokens)))
    }

    /// Returns the tokens that wait at the other processes, by priority.
    pub fn peer_waiting(&self) -> Vec<(u8, f64)> {
        let peers = self.peers.iter();
        sum_by_priority(peers.map(|demand| (demand.priority, demand.waiting_tokens)))
    }

    fn peer_demands(&self, service: u64) -> impl Iterator<Item = &SharedDemand> {
        let peers = self.peers.iter();
        peers.filter(move |demand| demand.service == service as u32)
    }

    fn position(&self, service: u64, priority: u8) -> Result<usize, usize> {
        self.own
            .binary_search_by_key(&(service, priority), |own| (own.service, own.priority))
    }

    fn get_or_insert(&mut self, service: u64, priority: u8) -> &mut OwnDemand {
        let index = self.position(service, priority).unwrap_or_else(|index| {
            let own = OwnDemand {
                service,
                priority,
                rate: ArrivalRate::default(),
                arriving_tokens: 0.0,
                waiting_tokens: 0.0,
            };
            self.own.insert(index, own);
            index
        });
        &mut self.own[index]
    }
}

impl OwnDemand {
    fn tokens(&self) -> f64 {
        self.arriving_tokens * DIVISION_S + self.waiting_tokens
    }

    fn has_demand(&self) -> bool {
        self.arriving_tokens >= MIN_ARRIVING_TOKENS || self.waiting_tokens > 0.0
    }
}

impl SharedDemand {
    fn tokens(&self) -> f64 {
        self.arriving_tokens * DIVISION_S + self.waiting_tokens
    }
}

fn sort_key(demand: &SharedDemand) -> (u32, u64, u8) {
    (demand.service, demand.zone, demand.priority)
}

fn sum_by_priority(parts: impl Iterator<Item = (u8, f64)>) -> Vec<(u8, f64)> {
    let mut sums: Vec<(u8, f64)> = Vec::new();
    for (priority, tokens) in parts {
        match sums.binary_search_by_key(&priority, |sum| sum.0) {
            Ok(index) => sums[index].1 += tokens,
            Err(index) => sums.insert(index, (priority, tokens)),
        }
    }
    sums
}
