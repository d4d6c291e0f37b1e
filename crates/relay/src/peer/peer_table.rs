use std::net::SocketAddr;

use dandelionroad_core::relay::SharedLoad;
use dandelionroad_core::time::MilliTime;

use super::LoadMessage;
use super::PeerLoad;

/// How long the loads of a silent process are counted, in milliseconds.
///
/// Two messages from another zone may be lost; the requests of a process that died end within
/// seconds.
const SILENT_MS: u64 = 2_500;

/// How long a silent process is still sent messages, in milliseconds.
const FORGET_MS: u64 = 15_000;

/// One other process.
#[derive(Clone, Debug)]
struct PeerState {
    address: SocketAddr,
    zone: String,
    internal: Option<SocketAddr>,
    heard: MilliTime,
    /// The run of the process that sent the stamps.
    run: u64,
    stamp: u64,
    /// The stamp at which its configuration was still the newest.
    config_stamp: u64,
    /// The stamp at which its list of engines was still the newest.
    listing_stamp: u64,
    loads: Vec<PeerLoad>,
    reaches_store: bool,
    is_heard: bool,
}

/// The other processes, sorted by address.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    peers: Vec<PeerState>,
}

impl PeerTable {
    /// Creates an empty table.
    pub fn new() -> PeerTable {
        PeerTable::default()
    }

    /// Adds a process that is listed in the store.
    pub fn add_listed(&mut self, address: SocketAddr, now: MilliTime) {
        self.entry(address, now);
    }

    /// Takes a message; returns whether it was newer than those before.
    pub fn record_message(
        &mut self,
        address: SocketAddr,
        message: LoadMessage,
        now: MilliTime,
    ) -> bool {
        let peer = self.entry(address, now);
        if message.run != peer.run {
            peer.run = message.run;
            peer.stamp = 0;
            peer.config_stamp = 0;
            peer.listing_stamp = 0;
        }
        if message.stamp <= peer.stamp {
            return false;
        }
        peer.heard = now;
        peer.is_heard = true;
        peer.stamp = message.stamp;
        peer.zone = message.zone;
        peer.internal = Some(message.internal);
        peer.loads = message.loads;
        peer.reaches_store = message.reaches_store;
        true
    }

    /// Forgets processes that were silent for long.
    pub fn expire(&mut self, now: MilliTime) {
        self.peers.retain(|peer| now.since(peer.heard) < FORGET_MS);
    }

    /// Returns the addresses of all processes.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.peers.iter().map(|peer| peer.address).collect()
    }

    /// Returns the addresses of the processes of a zone, of those whose zone is not known yet, and of
    /// the one that reads the store for the others.
    pub fn near_addresses(&self, zone: &str, now: MilliTime) -> Vec<SocketAddr> {
        let mut reaching = self.reaching_peers(now);
        let reader = reaching.next().map(|peer| peer.address);
        let is_near =
            |peer: &&PeerState| peer.zone == zone || !peer.is_heard || Some(peer.address) == reader;
        let near = self.peers.iter().filter(is_near);
        near.map(|peer| peer.address).collect()
    }

    /// Returns where the process that reads the store for the others serves copies of rows.
    pub fn store_reader(&self, now: MilliTime) -> Option<SocketAddr> {
        let mut reaching = self.reaching_peers(now);
        reaching.next()?.internal
    }

    /// Returns how many live processes have a lower address than `own`.
    pub fn rank(&self, own: SocketAddr, now: MilliTime) -> u32 {
        let lower = self.live_peers(now).filter(|peer| peer.address < own);
        lower.count() as u32
    }

    /// Returns the number of processes that were heard of lately.
    pub fn live_count(&self, now: MilliTime) -> u32 {
        self.live_peers(now).count() as u32
    }

    /// Returns where the process serves copies of rows that reads the store for an availability zone;
    /// none if that is the process at `own`.
    pub fn zone_reader(&self, zone: &str, own: SocketAddr, now: MilliTime) -> Option<SocketAddr> {
        let mut reaching = self.reaching_peers(now);
        let reader = reaching.find(|peer| peer.zone == zone && peer.address < own);
        reader?.internal
    }

    /// Returns the number of processes of an availability zone that were heard of lately.
    pub fn zone_live_count(&self, zone: &str, now: MilliTime) -> u32 {
        let of_zone = self.live_peers(now).filter(|peer| peer.zone == zone);
        of_zone.count() as u32
    }

    /// Returns the run and newest stamp of each process, to be taken before a read of the store.
    pub fn stamps(&self) -> Vec<(SocketAddr, u64, u64)> {
        let stamp = |peer: &PeerState| (peer.address, peer.run, peer.stamp);
        self.peers.iter().map(stamp).collect()
    }

    /// Takes a read of the configuration that was begun after the stamps were taken.
    pub fn record_config_read(&mut self, stamps: &[(SocketAddr, u64, u64)]) {
        for (address, run, stamp) in stamps {
            if let Some(peer) = self.get_mut(*address, *run) {
                peer.config_stamp = *stamp;
            }
        }
    }

    /// Takes a read of the list of engines that was begun after the stamps were taken.
    pub fn record_listing_read(&mut self, stamps: &[(SocketAddr, u64, u64)]) {
        for (address, run, stamp) in stamps {
            if let Some(peer) = self.get_mut(*address, *run) {
                peer.listing_stamp = *stamp;
            }
        }
    }

    /// Returns each process with its run and its stamps of the configuration and of the list of engines.
    pub fn confirmations(&self) -> Vec<(SocketAddr, u64, u64, u64)> {
        let confirmed = |peer: &PeerState| {
            let (config, listing) = (peer.config_stamp, peer.listing_stamp);
            (peer.address, peer.run, config, listing)
        };
        self.peers.iter().map(confirmed).collect()
    }

    /// Returns whether no live process that reaches the store has a lower address than `own`.
    pub fn may_read_for_others(&self, own: SocketAddr, now: MilliTime) -> bool {
        !self.reaching_peers(now).any(|peer| peer.address < own)
    }

    /// Returns the loads of the live processes.
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
        let is_live = move |peer: &&PeerState| peer.is_heard && now.since(peer.heard) < SILENT_MS;
        self.peers.iter().filter(is_live)
    }

    fn reaching_peers(&self, now: MilliTime) -> impl Iterator<Item = &PeerState> {
        self.live_peers(now).filter(|peer| peer.reaches_store)
    }

    fn entry(&mut self, address: SocketAddr, now: MilliTime) -> &mut PeerState {
        let index = match self
            .peers
            .binary_search_by_key(&address, |peer| peer.address)
        {
            Ok(index) => index,
            Err(index) => {
                let peer = PeerState {
                    address,
                    zone: String::new(),
                    internal: None,
                    heard: now,
                    run: 0,
                    stamp: 0,
                    config_stamp: 0,
                    listing_stamp: 0,
                    loads: Vec::new(),
                    reaches_store: false,
                    is_heard: false,
                };
                self.peers.insert(index, peer);
                index
            }
        };
        &mut self.peers[index]
    }
}
