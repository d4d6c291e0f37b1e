use std::net::SocketAddr;

use dandelionroad_core::relay::SharedLoad;
use dandelionroad_core::time::MilliTime;

use super::LoadMessage;
use super::PeerLoad;

/// The time without a message after which a process no longer counts as live, in milliseconds.
///
/// It tolerates two lost messages from another zone. The loads of a process that has died are counted
/// until then; its requests end within seconds.
const LIVENESS_TIMEOUT_MS: u64 = 2_500;

/// The time without a message after which a process is removed and no longer sent messages, in
/// milliseconds.
const REMOVAL_TIMEOUT_MS: u64 = 15_000;

/// The state of one other process.
#[derive(Clone, Debug)]
struct PeerState {
    address: SocketAddr,
    zone: String,
    /// The address of its metrics and its row snapshot.
    internal_address: Option<SocketAddr>,
    /// When its last message arrived, or when it was added.
    last_heard: MilliTime,
    /// The identifier of the process's run, from its start to its end; timestamps of different runs are not
    /// comparable.
    run: u64,
    /// The timestamp of its newest message, on its own clock in milliseconds.
    stamp: u64,
    /// The timestamp of its newest message that arrived before the last read of the configuration.
    config_stamp: u64,
    /// The timestamp of its newest message that arrived before the last read of the list of engines.
    listing_stamp: u64,
    loads: Vec<PeerLoad>,
    reaches_store: bool,
    /// Whether a message has arrived; until then the zone is unknown.
    has_message: bool,
}

/// The other relay processes with their last known state.
///
/// All processes apply the same rule to their tables to elect the process that reads the store, so a
/// reader is found without coordination.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    /// Sorted by address.
    peers: Vec<PeerState>,
}

impl PeerTable {
    /// Creates an empty table.
    pub fn new() -> PeerTable {
        PeerTable::default()
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
        peer.reaches_store = message.reaches_store;
        true
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

    /// Returns the addresses of the processes of a zone, of those whose zone is still unknown, and of the
    /// store reader.
    pub fn near_addresses(&self, zone: &str, now: MilliTime) -> Vec<SocketAddr> {
        let mut reaching = self.peers_reaching_store(now);
        let reader = reaching.next().map(|peer| peer.address);
        let is_near = |peer: &&PeerState| {
            peer.zone == zone || !peer.has_message || Some(peer.address) == reader
        };
        let near = self.peers.iter().filter(is_near);
        near.map(|peer| peer.address).collect()
    }

    /// Returns the address of the store reader's row snapshot.
    ///
    /// The store reader is the live process with the lowest address of those that reach the store.
    pub fn store_reader(&self, now: MilliTime) -> Option<SocketAddr> {
        let mut reaching = self.peers_reaching_store(now);
        reaching.next()?.internal_address
    }

    /// Returns the number of live processes with a lower address than `own_address`.
    pub fn rank(&self, own_address: SocketAddr, now: MilliTime) -> u32 {
        let lower = self
            .live_peers(now)
            .filter(|peer| peer.address < own_address);
        lower.count() as u32
    }

    /// Returns the number of live processes.
    pub fn live_count(&self, now: MilliTime) -> u32 {
        self.live_peers(now).count() as u32
    }

    /// Returns the address of the row snapshot of the process that reads the store for an availability
    /// zone; `None` if no process of the zone that reaches the store has a lower address than
    /// `own_address`.
    pub fn zone_reader(
        &self,
        zone: &str,
        own_address: SocketAddr,
        now: MilliTime,
    ) -> Option<SocketAddr> {
        let mut reaching = self.peers_reaching_store(now);
        let reader = reaching.find(|peer| peer.zone == zone && peer.address < own_address);
        reader?.internal_address
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
    pub fn confirmations(&self) -> Vec<(SocketAddr, u64, u64, u64)> {
        let confirmed = |peer: &PeerState| {
            let (config, listing) = (peer.config_stamp, peer.listing_stamp);
            (peer.address, peer.run, config, listing)
        };
        self.peers.iter().map(confirmed).collect()
    }

    /// Returns whether the process at `own_address` is the store reader, provided that it reaches the store.
    ///
    /// This holds if no other live process that reaches the store has a lower address.
    pub fn is_elected_reader(&self, own_address: SocketAddr, now: MilliTime) -> bool {
        !self
            .peers_reaching_store(now)
            .any(|peer| peer.address < own_address)
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

    fn get_mut(&mut self, address: SocketAddr, run: u64) -> Option<&mut PeerState> {
        let found = self
            .peers
            .binary_search_by_key(&address, |peer| peer.address);
        let peer = &mut self.peers[found.ok()?];
        (peer.run == run).then_some(peer)
    }

    fn live_peers(&self, now: MilliTime) -> impl Iterator<Item = &PeerState> {
        let is_live = move |peer: &&PeerState| {
            peer.has_message && now.since(peer.last_heard) < LIVENESS_TIMEOUT_MS
        };
        self.peers.iter().filter(is_live)
    }

    fn peers_reaching_store(&self, now: MilliTime) -> impl Iterator<Item = &PeerState> {
        self.live_peers(now).filter(|peer| peer.reaches_store)
    }

    fn get_or_insert(&mut self, address: SocketAddr, now: MilliTime) -> &mut PeerState {
        let index = match self
            .peers
            .binary_search_by_key(&address, |peer| peer.address)
        {
            Ok(index) => index,
            Err(index) => {
                let peer = PeerState {
                    address,
                    zone: String::new(),
                    internal_address: None,
                    last_heard: now,
                    run: 0,
                    stamp: 0,
                    config_stamp: 0,
                    listing_stamp: 0,
                    loads: Vec::new(),
                    reaches_store: false,
                    has_message: false,
                };
                self.peers.insert(index, peer);
                index
            }
        };
        &mut self.peers[index]
    }
}
