use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dandelionroad_core::relay::EngineCrash;
use dandelionroad_core::relay::SharedLoad;
use dandelionroad_core::route::mix_seed;
use dandelionroad_core::time::MilliTime;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::UdpSocket;

use crate::node::NodeState;
use crate::store::StoreClient;
use crate::wire::StoreTable;
use crate::wire::StoreWrite;

use super::ConfirmMessage;
use super::LoadMessage;
use super::PeerDatagram;
use super::PeerLoad;

/// The time between two messages to each process, in milliseconds.
///
/// A prompt is read within as much, so that most of a burst is reported while it still matters. In
/// simulation, first events took 177 ms at the median with 200 ms, and 138 ms with 100 ms.
const SEND_INTERVAL_MS: u64 = 100;

/// The rounds of messages of which one goes to the processes of other zones as well.
///
/// Chains stay within a zone and mostly serve its own callers, and bytes between zones are dear. With
/// one round in eight, processes of several zones crowded the same engines.
const FAR_ROUNDS: u64 = 4;

/// The time between two reads of the list of processes, in milliseconds.
///
/// A process that starts tells the listed ones itself; the read finds those that could not be told.
const LIST_INTERVAL_MS: u64 = 60_000;

/// The time between two confirmations to each process, in milliseconds.
///
/// Three may be lost before a process reads the store itself.
const CONFIRM_INTERVAL_MS: u64 = 300;

/// The time between two messages about crashes, in milliseconds.
///
/// Callers send a request that broke off again after some hundred milliseconds or more; the first message
/// goes out at once, the others replace lost ones.
const CRASH_INTERVAL_MS: u64 = 1_000;

/// The most crashes in a datagram, which then stays below 2 KB.
const CRASHES_TOLD: usize = 16;

/// The pause before an entry in the list of processes is tried again, in milliseconds.
const RETRY_PAUSE_MS: u64 = 1_000;

/// How long after its last own answer a process counts as one that reaches the store, in
/// milliseconds.
const STORE_AGE_MS: u64 = 4_000;

/// The steps of the number that decides whose turn it is when less than a request is free for each.
const DRAWS: u64 = 1_024;

/// The greatest datagram that is read, in bytes.
const DATAGRAM_BYTES: usize = 16_384;

/// A process in the store's list.
#[derive(Debug, Deserialize, Serialize)]
struct MemberRow {
    /// Where it takes datagrams.
    address: SocketAddr,
}

/// Exchanges loads with the other processes until the process ends.
pub async fn run_peers(state: Rc<NodeState>, store: Rc<StoreClient>, socket: UdpSocket) {
    tokio::join!(
        send_loads(&state, &socket),
        receive(&state, &socket),
        send_confirmations(&state, &socket),
        send_crashes(&state, &socket),
        follow_list(&state, &store),
    );
}

async fn send_loads(state: &NodeState, socket: &UdpSocket) {
    for round in 0_u64.. {
        tokio::time::sleep(Duration::from_millis(SEND_INTERVAL_MS)).await;
        let now = state.clock.now();
        refresh(state, now);
        let message = PeerDatagram::Load(LoadMessage {
            internal: state.settings.metrics_address,
            zone: state.settings.zone.clone(),
            run: state.run_id,
            stamp: now.as_millis(),
            reaches_store: reaches_store(state, now),
            loads: own_loads(state),
        });
        let addresses = match round % FAR_ROUNDS {
            0 => state.peers.borrow().addresses(),
            _ => {
                let peers = state.peers.borrow();
                peers.near_addresses(&state.settings.zone, now)
            }
        };
        if let Some(bytes) = encode(&message) {
            for address in addresses {
                send(socket, address, &bytes).await;
            }
        }
    }
}

/// Tells the others how old what they hold may be, as long as this process reads the store for them.
async fn send_confirmations(state: &NodeState, socket: &UdpSocket) {
    loop {
        let pause = Duration::from_millis(CONFIRM_INTERVAL_MS);
        // A change is told at once, otherwise at the interval.
        let _ = tokio::time::timeout(pause, state.confirm_due.notified()).await;
        if !reads_for_others(state) {
            continue;
        }
        let (config, listing) = {
            let view = state.view.borrow();
            let version = view.config.as_ref().map_or(0, |config| config.version);
            (version, view.engines.digest())
        };
        let confirmations = state.peers.borrow().confirmations();
        for (address, run, config_stamp, listing_stamp) in confirmations {
            let message = PeerDatagram::Confirm(ConfirmMessage {
                run,
                config,
                config_stamp,
                listing,
                listing_stamp,
            });
            if let Some(bytes) = encode(&message) {
                send(socket, address, &bytes).await;
            }
        }
    }
}

/// Tells the others of requests that crashed engines, at once and then at an interval.
async fn send_crashes(state: &NodeState, socket: &UdpSocket) {
    loop {
        let pause = Duration::from_millis(CRASH_INTERVAL_MS);
        let _ = tokio::time::timeout(pause, state.crashes_changed.notified()).await;
        let cleared = state.cleared_fingerprints.take();
        if !cleared.is_empty() {
            tell_all(state, socket, &PeerDatagram::Served(cleared)).await;
        }
        let crashes: Vec<EngineCrash> = {
            let now = state.clock.now();
            let mut view = state.view.borrow_mut();
            view.crashes.expire(now);
            let told = view.crashes.recent_crashes(now);
            told.into_iter().take(CRASHES_TOLD).cloned().collect()
        };
        if !crashes.is_empty() {
            tell_all(state, socket, &PeerDatagram::Crashes(crashes)).await;
        }
    }
}

async fn tell_all(state: &NodeState, socket: &UdpSocket, message: &PeerDatagram) {
    let addresses = state.peers.borrow().addresses();
    if let Some(bytes) = encode(message) {
        for address in addresses {
            send(socket, address, &bytes).await;
        }
    }
}

fn take_crashes(state: &NodeState, crashes: &[EngineCrash]) {
    let now = state.clock.now();
    let mut view = state.view.borrow_mut();
    for crash in crashes {
        if view.crashes.merge(crash, now) {
            spdlog::info!("request: told to have crashed an engine", kv: {
                engine = crash.engine.as_str(),
                fingerprint = crash.fingerprint.as_str(),
            });
        }
    }
}

fn take_served(state: &NodeState, cleared: &[String]) {
    let mut view = state.view.borrow_mut();
    for fingerprint in cleared {
        if view.crashes.clear_request(fingerprint) {
            spdlog::info!("request: served elsewhere, crashes forgotten", kv: {
                fingerprint = fingerprint.as_str(),
            });
        }
    }
}

fn encode(message: &PeerDatagram) -> Option<Vec<u8>> {
    let bytes = message.encode();
    bytes
        .inspect_err(|error| spdlog::warn!("peers: message not written: {error}"))
        .ok()
}

async fn send(socket: &UdpSocket, address: SocketAddr, bytes: &[u8]) {
    if let Err(error) = socket.send_to(bytes, address).await {
        spdlog::debug!("peers: can't send to {address}: {error}");
    }
}

async fn receive(state: &NodeState, socket: &UdpSocket) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, address)) => match PeerDatagram::decode(&buffer[..length]) {
                Ok(PeerDatagram::Load(message)) => {
                    let now = state.clock.now();
                    state
                        .peers
                        .borrow_mut()
                        .record_message(address, message, now);
                }
                Ok(PeerDatagram::Confirm(message)) => take_confirmation(state, &message),
                Ok(PeerDatagram::Crashes(crashes)) => take_crashes(state, &crashes),
                Ok(PeerDatagram::Served(cleared)) => take_served(state, &cleared),
                Err(error) => spdlog::warn!("peers: datagram from {address} left out: {error}"),
            },
            Err(error) => {
                spdlog::warn!("peers: can't receive: {error}");
                tokio::time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
            }
        }
    }
}

/// Makes what is held younger if it equals the newest, or has it read anew.
fn take_confirmation(state: &NodeState, message: &ConfirmMessage) {
    let now = state.clock.now().as_millis();
    let latest = message.config_stamp.max(message.listing_stamp);
    if message.run != state.run_id || latest > now {
        spdlog::debug!("peers: confirmation for another run left out");
        return;
    }
    let mut view = state.view.borrow_mut();
    let config = view.config.as_ref().map_or(0, |config| config.version);
    if config == message.config && config > 0 {
        let stamp = MilliTime::from_millis(message.config_stamp);
        view.config_age.confirm(stamp);
    } else if config < message.config {
        state.newest_config_version.set(message.config);
        state.config_changed.notify_one();
    }
    if view.has_listing && view.engines.digest() == message.listing {
        let stamp = MilliTime::from_millis(message.listing_stamp);
        view.listing_time = view.listing_time.max(stamp);
    } else {
        // Older than the own list, the other one would bring back engines that have left.
        let stamp = MilliTime::from_millis(message.listing_stamp);
        state.is_listing_stale.set(stamp > view.listing_time);
        state.newest_listing_digest.set(message.listing);
        state.listing_changed.notify_one();
    }
}

/// Returns whether this process reads the store often and confirms to the others.
pub(crate) fn reads_for_others(state: &NodeState) -> bool {
    let now = state.clock.now();
    reaches_store(state, now)
        && state
            .peers
            .borrow()
            .may_read_for_others(state.settings.peer_address, now)
}

fn reaches_store(state: &NodeState, now: MilliTime) -> bool {
    let view = state.view.borrow();
    view.is_ready() && !view.is_store_lost && now.since(view.last_store_reply) < STORE_AGE_MS
}

/// Lists this process in the store and learns of the others.
async fn follow_list(state: &NodeState, store: &StoreClient) {
    let row = MemberRow {
        address: state.settings.peer_address,
    };
    let value = serde_json::to_vec(&row).unwrap_or_default();
    let mut is_listed = false;
    loop {
        if !is_listed {
            let write = StoreWrite {
                table: StoreTable::Members,
                key: state.settings.name.clone(),
                value: value.clone(),
                expected_version: None,
            };
            match store.write(write).await {
                Ok(crate::wire::StoreReply::Written { .. }) => is_listed = true,
                Ok(other) => spdlog::warn!("peers: not listed: {other:?}"),
                Err(error) => spdlog::warn!("peers: not listed: {error}"),
            }
        }
        match store.read(StoreTable::Members).await {
            Ok((rows, _, _)) => {
                let now = state.clock.now();
                for row in rows {
                    let Some(value) = row.value else { continue };
                    match serde_json::from_slice::<MemberRow>(&value) {
                        Ok(member) if member.address == state.settings.peer_address => {}
                        Ok(member) => state.peers.borrow_mut().add_listed(member.address, now),
                        Err(error) => spdlog::warn!("peers: row {} left out: {error}", row.key),
                    }
                }
            }
            Err(error) => {
                spdlog::warn!("peers: list not read: {error}");
                is_listed = false;
            }
        }
        let pause_ms = match is_listed {
            true => LIST_INTERVAL_MS,
            false => RETRY_PAUSE_MS,
        };
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Takes the other processes' loads into the view.
fn refresh(state: &NodeState, now: MilliTime) {
    let mut peers = state.peers.borrow_mut();
    peers.expire(now);
    let loads = peers.loads(now);
    let mut view = state.view.borrow_mut();
    view.engines.set_peer_loads(&loads);
    let draw = (mix_seed(state.run_id ^ now.as_millis()) % DRAWS) as f64 / DRAWS as f64;
    view.engines
        .divide_capacity(|zone| peers.zone_live_count(zone, now) + 1, draw);
    view.engines.expire_latency_ratios(now);
    let confirmed = view.listing_time;
    for id in view.engines.remove_missing(confirmed, now) {
        spdlog::info!("engines: gone", kv: { engine = id.as_str() });
    }
    state.room_freed.notify_waiters();
    let processes = peers.live_count(now) + 1;
    if processes != view.process_count {
        view.process_count = processes;
        view.retry_budget
            .set_burst(state.bounds.get().retry_slack / processes);
        spdlog::info!("peers: live processes", kv: { processes = processes });
    }
}

fn own_loads(state: &NodeState) -> Vec<PeerLoad> {
    let loads = state.view.borrow().engines.own_loads();
    let load = |load: SharedLoad| PeerLoad {
        engine: load.tag,
        requests: load.requests,
        units: load.units as u64,
        reading: load.prefill_tokens as u32,
    };
    loads.into_iter().map(load).collect()
}
