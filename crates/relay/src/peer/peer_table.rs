use std::cmp::Reverse;
use std::net::SocketAddr;

use dandelionroad_core::relay::SharedDemand;
use dandelionroad_core::relay::SharedLoad;
use dandelionroad_core::route::hash_text;
use dandelionroad_core::time::MilliTime;

use super::LoadMessage;
use super::peer_state::ElectionKey;
use super::peer_state::PeerState;
use super::peer_task::LOAD_INTERVAL_MS;

/// The minimum time without a message after which a process no longer counts as live, in milliseconds.
///
/// The loads of a process that has died are counted until then; its requests end within seconds.
const MIN_LIVENESS_MS: u64 = 2_500;

/// A process of which no message has arrived in the time of this many messages no longer counts as live.
const LIVENESS_ROUNDS: u64 = 4;

/// The maximum number of processes of its own availability zone to which a process sends its load in one
/// round.
///
/// With more processes in a zone, each gets the load in one of several rounds, so that the messages of a
/// process don't grow with the number of processes.
const MAX_ZONE_TARGETS: usize = 24;

/// The maximum number of processes of other availability zones to which a process sends its load in one
/// round.
const MAX_FAR_TARGETS: usize = 16;

/// The number of rounds in which all processes of other availability zones get the load, if the maximum
/// number of targets allows it.
///
/// Chains stay within a zone and mostly serve the callers of that zone, and traffic between zones is
/// expensive. With eight rounds, processes of several zones overload the same engines.
const FAR_ROUNDS: usize = 4;

/// The time without a message after which a process is removed and no longer sent messages, in
/// milliseconds.
const REMOVAL_TIMEOUT_MS: u64 = 15_000;

/// The other relay processes with their last known state.
///
/// All processes apply the same rule to their tables to elect the process that reads the store, so a
/// reader is found without coordination.
#[derive(Clone, Debug)]
pub struct PeerTable {
    /// Sorted by address.
    peers: Vec<PeerState>,
    /// The availability zone of this process.
    zone: String,
    own_key: ElectionKey,
}

impl PeerTable {
    /// Creates the empty table of the process at `own_address` in an availability zone, with `capacity`
    /// thousandths of a processor core.
    pub fn new(own_address: SocketAddr, zone: &str, capacity: u32) -> PeerTable {
        PeerTable {
            peers: Vec::new(),
            zone: zone.to_owned(),
            own_key: (Reverse(capacity), own_address),
        }
    }

    /// Adds a process that is listed in the store, unless it is known.
    pub fn add_listed(&mut self, address: SocketAddr, now: MilliTime) {
        self.get_or_insert(address, now);
    }

    /// Records a message of a process.
    ///
    /// Returns false, without recording its content, if the message is not newer than the last one of the
    /// same run.
    pub fn record_message(
        &mut self,
        address: SocketAddr,
        message: LoadMessage,
        now: MilliTime,
    ) -> bool {
        let peer = self.get_or_insert(address, now);
        if message.run != peer.run {
            peer.run = message.run;
            peer.stamp = 0;
            peer.config_stamp = 0;
            peer.listing_stamp = 0;
        }
        if message.stamp <= peer.stamp {
            return false;
        }
        peer.last_heard = now;
        peer.has_message = true;
        peer.stamp = message.stamp;
        peer.zone = message.zone;
        peer.internal_address = Some(message.internal);
        peer.loads = message.loads;
        peer.demands = message.demands;
        peer.reaches_store = message.reaches_store;
        peer.capacity = message.capacity;
        peer.listing_age_ms = u64::from(message.listing_age_ms);
        true
    }

    /// Returns whether a message of this run of a process has arrived.
    pub fn knows_run(&self, address: SocketAddr, run: u64) -> bool {
        let found = self
            .peers
            .binary_search_by_key(&address, |peer| peer.address);
        found.is_ok_and(|index| self.peers[index].has_message && self.peers[index].run == run)
    }

    /// Removes the processes that have sent no message for the removal time-out.
    pub fn expire(&mut self, now: MilliTime) {
        self.peers
            .retain(|peer| now.since(peer.last_heard) < REMOVAL_TIMEOUT_MS);
    }

    /// Returns the addresses of all processes.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.peers.iter().map(|peer| peer.address).collect()
    }

    /// Returns the processes that get this process's load in a round of messages: those of its zone, those
    /// whose zone is unknown, a part of the others, and the store reader.
    ///
    /// Successive rounds reach all processes. The number in one round is bounded.
    pub fn round_targets(&self, round: u64, now: MilliTime) -> Vec<SocketAddr> {
        let is_near = |peer: &&PeerState| peer.zone == self.zone || !peer.has_message;
        let near: Vec<SocketAddr> = addresses_of(self.peers.iter().filter(is_near));
        let far: Vec<SocketAddr> = addresses_of(self.peers.iter().filter(|peer| !is_near(peer)));
        let far_count = far.len().div_ceil(FAR_ROUNDS).min(MAX_FAR_TARGETS);
        let mut targets = window(&near, near.len().min(MAX_ZONE_TARGETS), round);
        targets.extend(window(&far, far_count, round));
        let reader = self.first_reaching(now).map(|peer| peer.address);
        targets.extend(reader.filter(|reader| !targets.contains(reader)));
        targets
    }

    /// Returns the address at which the store reader serves the rows that it has read.
    ///
    /// The store reader is the first in the order of election of the live processes that reach the store.
    pub fn store_reader(&self, now: MilliTime) -> Option<SocketAddr> {
        self.first_reaching(now)?.internal_address
    }

    /// Returns the number of live processes that come before this one in the order of election.
    pub fn rank(&self, now: MilliTime) -> u32 {
        let earlier = self
            .live_peers(now)
            .filter(|peer| peer.key() < self.own_key);
        earlier.count() as u32
    }

    /// Returns the number of live processes of this zone that come before this one in the order of
    /// election.
    pub fn zone_rank(&self, now: MilliTime) -> u32 {
        let earlier = self.live_peers(now);
        let earlier = earlier.filter(|peer| peer.zone == self.zone && peer.key() < self.own_key);
        earlier.count() as u32
    }

    /// Returns the number of live processes.
    pub fn live_count(&self, now: MilliTime) -> u32 {
        self.live_peers(now).count() as u32
    }

    /// Returns the address at which the first process of this availability zone serves the changes that it
    /// has fetched from the store reader; `None` if this process comes first in its zone.
    pub fn zone_source(&self, now: MilliTime) -> Option<SocketAddr> {
        let earlier = self.live_peers(now);
        let earlier = earlier.filter(|peer| peer.zone == self.zone && peer.key() < self.own_key);
        earlier.min_by_key(|peer| peer.key())?.internal_address
    }

    /// Returns the process with the freshest list of engines, by the address at which it serves the list,
    /// and the age of that list in milliseconds.
    ///
    /// Of several with the same age, one of this zone is returned; those in `excluded` never are.
    pub fn freshest_listing(
        &self,
        excluded: &[SocketAddr],
        now: MilliTime,
    ) -> Option<(SocketAddr, u64)> {
        let live = self.live_peers(now).filter_map(|peer| {
            let address = peer.internal_address?;
            let age_ms = peer
                .listing_age_ms
                .saturating_add(now.since(peer.last_heard));
            let is_allowed = !excluded.contains(&address);
            is_allowed.then_some((age_ms, peer.zone != self.zone, address))
        });
        let (age_ms, _, address) = live.min()?;
        Some((address, age_ms))
    }

    /// Returns the number of live processes of an availability zone.
    pub fn zone_live_count(&self, zone: &str, now: MilliTime) -> u32 {
        let of_zone = self.live_peers(now).filter(|peer| peer.zone == zone);
        of_zone.count() as u32
    }

    /// Returns the address, the run and the timestamp of the newest message of each process.
    ///
    /// Callers capture them before a read of the store, and record them once the read has succeeded.
    pub fn newest_timestamps(&self) -> Vec<(SocketAddr, u64, u64)> {
        let stamp = |peer: &PeerState| (peer.address, peer.run, peer.stamp);
        self.peers.iter().map(stamp).collect()
    }

    /// Records a read of the configuration that started after the timestamps were captured.
    pub fn record_config_read(&mut self, timestamps: &[(SocketAddr, u64, u64)]) {
        for (address, run, stamp) in timestamps {
            if let Some(peer) = self.get_mut(*address, *run) {
                peer.config_stamp = *stamp;
            }
        }
    }

    /// Records a read of the list of engines that started after the timestamps were captured.
    pub fn record_listing_read(&mut self, timestamps: &[(SocketAddr, u64, u64)]) {
        for (address, run, stamp) in timestamps {
            if let Some(peer) = self.get_mut(*address, *run) {
                peer.listing_stamp = *stamp;
            }
        }
    }

    /// Returns, for each process, its address, its run, and the timestamps up to which the configuration and
    /// the list of engines are confirmed to it.
    ///
    /// `config_confirmed` is the time, on this process's clock, at which its own configuration was last known to be the
    /// newest. A process that started later is told that time too, as far before its newest message as it lies before the
    /// arrival of that message: while no read renews the freshness, it would know none otherwise.
    pub fn confirmations(
        &self,
        config_confirmed: Option<MilliTime>,
    ) -> Vec<(SocketAddr, u64, u64, u64)> {
        let confirmed = |peer: &PeerState| {
            let known = config_confirmed.map_or(0, |confirmed| {
                let before_ms = peer.last_heard.since(confirmed);
                peer.stamp.saturating_sub(before_ms)
            });
            let config = peer.config_stamp.max(known);
            (peer.address, peer.run, config, peer.listing_stamp)
        };
        self.peers.iter().map(confirmed).collect()
    }

    /// Returns whether this process is the store reader, provided that it reaches the store.
    ///
    /// This holds if no live process that reaches the store comes before it in the order of election.
    pub fn is_elected_reader(&self, now: MilliTime) -> bool {
        let first = self.first_reaching(now);
        first.is_none_or(|peer| peer.key() > self.own_key)
    }

    /// Returns the loads that the live processes put on engines.
    pub fn loads(&self, now: MilliTime) -> Vec<SharedLoad> {
        let loads = self.live_peers(now).flat_map(|peer| &peer.loads);
        loads
            .map(|load| SharedLoad {
                tag: load.engine,
                requests: load.requests,
                units: load.units as f64,
                prefill_tokens: f64::from(load.reading),
            })
            .collect()
    }

    /// Returns the demand of the live processes for services under shortage control.
    pub fn demands(&self, now: MilliTime) -> Vec<SharedDemand> {
        let mut demands = Vec::new();
        for peer in self.live_peers(now) {
            let zone = hash_text(0, &peer.zone);
            for demand in &peer.demands {
                let parts = demand.priorities.iter();
                demands.extend(parts.map(|part| SharedDemand {
                    service: demand.service,
                    zone,
                    priority: part.priority,
                    waiting_tokens: f64::from(part.waiting_tokens),
                    arriving_tokens: f64::from(part.arriving_tokens),
                }));
            }
        }
        demands
    }

    fn get_mut(&mut self, address: SocketAddr, run: u64) -> Option<&mut PeerState> {
        let found = self
            .peers
            .binary_search_by_key(&address, |peer| peer.address);
        let peer = &mut self.peers[found.ok()?];
        (peer.run == run).then_some(peer)
    }

    fn live_peers(&self, now: MilliTime) -> impl Iterator<Item = &PeerState> {
        let in_zone = self.peers.iter().filter(|peer| peer.zone == self.zone);
        let in_zone = in_zone.count();
        let far = self.peers.len() - in_zone;
        let zone_timeout_ms = liveness_ms(in_zone.div_ceil(MAX_ZONE_TARGETS));
        let far_timeout_ms = liveness_ms(far.div_ceil(MAX_FAR_TARGETS).max(FAR_ROUNDS));
        let is_live = move |peer: &&PeerState| {
            let timeout_ms = match peer.zone == self.zone {
                true => zone_timeout_ms,
                false => far_timeout_ms,
            };
            peer.has_message && now.since(peer.last_heard) < timeout_ms
        };
        self.peers.iter().filter(is_live)
    }

    /// Returns the first process in the order of election of the live ones that reach the store.
    fn first_reaching(&self, now: MilliTime) -> Option<&PeerState> {
        let reaching = self.live_peers(now).filter(|peer| peer.reaches_store);
        reaching.min_by_key(|peer| peer.key())
    }

    fn get_or_insert(&mut self, address: SocketAddr, now: MilliTime) -> &mut PeerState {
        let index = match self
            .peers
            .binary_search_by_key(&address, |peer| peer.address)
        {
            Ok(index) => index,
            Err(index) => {
                let peer = PeerState::new(address, now);
                self.peers.insert(index, peer);
                index
            }
        };
        &mut self.peers[index]
    }
}

/// Returns the time-out for the liveness of processes that get a message in one of `rounds` rounds.
fn liveness_ms(rounds: usize) -> u64 {
    (rounds as u64 * LOAD_INTERVAL_MS * LIVENESS_ROUNDS).max(MIN_LIVENESS_MS)
}

fn addresses_of<'p>(peers: impl Iterator<Item = &'p PeerState>) -> Vec<SocketAddr> {
    peers.map(|peer| peer.address).collect()
}

/// Returns `count` addresses from the position that `round` reaches if each round takes as many.
fn window(addresses: &[SocketAddr], count: usize, round: u64) -> Vec<SocketAddr> {
    let start = match addresses.len() as u64 {
        0 => 0,
        length => (round % length * count as u64 % length) as usize,
    };
    let cycle = addresses.iter().cycle().skip(start);
    cycle.take(count).copied().collect()
}
