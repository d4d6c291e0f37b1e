use std::cmp::Reverse;
use std::net::SocketAddr;

use dandelionroad_core::time::MilliTime;

use super::PeerDemand;
use super::PeerLoad;

/// The place of a process in the order of election: the one with the most processor capacity comes first,
/// and among equals the one with the lowest address.
///
/// Reading and forwarding for others takes a small host the capacity that its callers need.
pub(super) type ElectionKey = (Reverse<u32>, SocketAddr);

/// The state of one other process.
#[derive(Clone, Debug)]
pub(super) struct PeerState {
    pub(super) address: SocketAddr,
    pub(super) zone: String,
    /// The address at which it serves its metrics and the rows that it has read.
    pub(super) internal_address: Option<SocketAddr>,
    /// When its last message arrived, or when it was added.
    pub(super) last_heard: MilliTime,
    /// The identifier of the process's run, from its start to its end; timestamps of different runs are not
    /// comparable.
    pub(super) run: u64,
    /// The timestamp of its newest message, on its own clock in milliseconds.
    pub(super) stamp: u64,
    /// The timestamp of its newest message that arrived before the last read of the configuration.
    pub(super) config_stamp: u64,
    /// The timestamp of its newest message that arrived before the last read of the list of engines.
    pub(super) listing_stamp: u64,
    pub(super) loads: Vec<PeerLoad>,
    pub(super) demands: Vec<PeerDemand>,
    pub(super) reaches_store: bool,
    pub(super) capacity: u32,
    /// The age of its list of engines when its last message was sent, in milliseconds.
    pub(super) listing_age_ms: u64,
    /// Whether a message has arrived; until then the zone is unknown.
    pub(super) has_message: bool,
}

impl PeerState {
    /// Creates the state of a process that has sent no message.
    pub(super) fn new(address: SocketAddr, now: MilliTime) -> PeerState {
        PeerState {
            address,
            zone: String::new(),
            internal_address: None,
            last_heard: now,
            run: 0,
            stamp: 0,
            config_stamp: 0,
            listing_stamp: 0,
            loads: Vec::new(),
            demands: Vec::new(),
            reaches_store: false,
            capacity: 0,
            listing_age_ms: u64::MAX,
            has_message: false,
        }
    }

    pub(super) fn key(&self) -> ElectionKey {
        (Reverse(self.capacity), self.address)
    }
}
