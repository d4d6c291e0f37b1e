use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dandelionroad_core::relay::PeerListing;
use dandelionroad_core::relay::RunPhase;
use dandelionroad_core::relay::SharedLoad;
use dandelionroad_core::route::mix_seed;
use dandelionroad_core::time::MilliTime;
use tokio::net::UdpSocket;

use crate::node::NodeState;
use crate::store::StoreClient;
use crate::store::observe_version;

use super::ConfirmMessage;
use super::LoadMessage;
use super::PeerDatagram;
use super::PeerDemand;
use super::PeerLoad;
use super::crash_exchange::answer_parts;
use super::crash_exchange::clear_served;
use super::crash_exchange::merge_crashes;
use super::crash_exchange::send_crashes;
use super::member_task::track_members;

/// The interval of load messages, in milliseconds.
///
/// Prefill of a prompt takes about as long, so that most of a burst is reported while it still affects
/// the choice of a chain. In simulation, the median time to the first event is 177 ms with an interval
/// of 200 ms, and 138 ms with 100 ms.
pub(super) const LOAD_INTERVAL_MS: u64 = 100;

/// The interval of confirmations to each process, in milliseconds.
///
/// Three may be lost before a process reads the store itself.
const CONFIRM_INTERVAL_MS: u64 = 300;

/// The pause after an error of the socket or of the store, in milliseconds.
pub(super) const RETRY_PAUSE_MS: u64 = 1_000;

/// The number of distinct values of the random number, from 0 to below 1, that decides which process may
/// use capacity that is too small for one request per process.
const RANDOM_RESOLUTION: u64 = 1_024;

/// The size of the receive buffer, and so of the largest accepted datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16_384;

/// Exchanges datagrams with the other processes until the process ends.
pub async fn run_peers(state: Rc<NodeState>, store: Rc<StoreClient>, socket: Rc<UdpSocket>) {
    tokio::join!(
        send_loads(&state, &socket),
        receive_datagrams(&state, &socket),
        send_confirmations(&state, &socket),
        send_crashes(&state, &socket),
        track_members(&state, &store),
    );
}

async fn send_loads(state: &NodeState, socket: &UdpSocket) {
    for round in 0_u64.. {
        let pause = Duration::from_millis(LOAD_INTERVAL_MS);
        // A list that was read while the confirmations had stopped is announced at once.
        let _ = tokio::time::timeout(pause, state.announcement_due.notified()).await;
        let now = state.clock.now();
        refresh_view(state, now);
        let (listing_age_ms, listing_grace_ms) = {
            let view = state.view.borrow();
            let grace_ms = view.engines.own_grace_left_ms(&view.listing_gap(now), now);
            (view.listing_age_ms(now), grace_ms)
        };
        let message = PeerDatagram::Load(LoadMessage {
            internal: state.settings.metrics_address,
            zone: state.settings.zone.clone(),
            run: state.run_id,
            stamp: now.as_millis(),
            reaches_store: reaches_store(state, now),
            capacity: state.settings.capacity,
            listing_age_ms: listing_age_ms
                .and_then(|age_ms| age_ms.try_into().ok())
                .unwrap_or(u32::MAX),
            listing_grace_ms,
            loads: own_loads(state),
            demands: PeerDemand::group(&state.view.borrow().demand.own_demands()),
        });
        let targets = state.peers.borrow().round_targets(round, now);
        if let Some(bytes) = encode(&message) {
            for address in targets {
                send(socket, address, &bytes).await;
            }
        }
    }
}

/// Sends confirmations to the other processes while this process is the store reader.
async fn send_confirmations(state: &NodeState, socket: &UdpSocket) {
    loop {
        let pause = Duration::from_millis(CONFIRM_INTERVAL_MS);
        // Confirmations are sent at the interval, and at once after a change.
        let _ = tokio::time::timeout(pause, state.confirm_due.notified()).await;
        confirm_to(state, socket, None).await;
    }
}

/// Sends a confirmation to one of the other processes, or to all for `None`, if this process is the store reader.
async fn confirm_to(state: &NodeState, socket: &UdpSocket, target: Option<SocketAddr>) {
    if !is_store_reader(state) {
        return;
    }
    let (confirmed, template) = {
        let view = state.view.borrow();
        // Each receiver has its own run and stamps.
        let template = ConfirmMessage {
            run: 0,
            config: view.config.as_ref().map_or(0, |config| config.version),
            config_stamp: 0,
            listing: view.listing.digest(),
            listing_version: view.listing.version(),
            listing_stamp: 0,
            is_listing_whole: view.engines.is_whole(view.listing_time),
            listing_grace_ms: view.engines.grace_left_ms(state.clock.now()),
        };
        (view.config_age.confirmed_at(), template)
    };
    let confirmations = state.peers.borrow().confirmations(confirmed);
    let is_target = |address: SocketAddr| target.is_none_or(|target| target == address);
    let confirmations = confirmations.into_iter();
    for (address, run, config_stamp, listing_stamp) in
        confirmations.filter(|(address, ..)| is_target(*address))
    {
        let message = PeerDatagram::Confirm(ConfirmMessage {
            run,
            config_stamp,
            listing_stamp,
            ..template.clone()
        });
        if let Some(bytes) = encode(&message) {
            send(socket, address, &bytes).await;
        }
    }
}

pub(super) async fn send_to_all(
    socket: &UdpSocket,
    addresses: Vec<SocketAddr>,
    message: &PeerDatagram,
) {
    if let Some(bytes) = encode(message) {
        for address in addresses {
            send(socket, address, &bytes).await;
        }
    }
}

fn encode(message: &PeerDatagram) -> Option<Vec<u8>> {
    let bytes = message.encode();
    bytes
        .inspect_err(|error| spdlog::warn!("peers: can't encode a datagram: {error}"))
        .ok()
}

async fn send(socket: &UdpSocket, address: SocketAddr, bytes: &[u8]) {
    if let Err(error) = socket.send_to(bytes, address).await {
        spdlog::debug!("peers: can't send to {address}: {error}");
    }
}

async fn receive_datagrams(state: &NodeState, socket: &UdpSocket) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, address)) => match PeerDatagram::decode(&buffer[..length]) {
                Ok(PeerDatagram::Load(message)) => {
                    let now = state.clock.now();
                    let is_start = !state.peers.borrow().knows_run(address, message.run);
                    let grace_ms = message.listing_grace_ms;
                    let is_newest = state
                        .peers
                        .borrow_mut()
                        .record_message(address, message, now);
                    if is_newest {
                        let mut view = state.view.borrow_mut();
                        view.engines.record_peer_grace(grace_ms, now);
                    }
                    if is_start {
                        // A started process refuses callers until it hears what the others know.
                        confirm_to(state, socket, Some(address)).await;
                    }
                }
                Ok(PeerDatagram::Confirm(message)) => apply_confirmation(state, &message),
                Ok(PeerDatagram::Crashes(crashes)) => {
                    merge_crashes(state, &crashes, RunPhase::Starting);
                }
                Ok(PeerDatagram::LateLosses(losses)) => {
                    merge_crashes(state, &losses, RunPhase::Established);
                }
                Ok(PeerDatagram::Served(fingerprints)) => clear_served(state, &fingerprints),
                Ok(PeerDatagram::Parts(reports)) => {
                    answer_parts(state, socket, address, &reports).await;
                }
                Err(error) => spdlog::warn!("peers: datagram from {address} ignored: {error}"),
            },
            Err(error) => {
                spdlog::warn!("peers: can't receive datagrams, retrying: {error}");
                tokio::time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
            }
        }
    }
}

/// Renews the confirmation time of the configuration and of the list of engines if they are the newest.
///
/// Wakes the tasks that read the configuration and the list if the held ones are older.
fn apply_confirmation(state: &NodeState, message: &ConfirmMessage) {
    let now = state.clock.now();
    let latest = message.config_stamp.max(message.listing_stamp);
    if message.run != state.run_id || latest > now.as_millis() {
        spdlog::debug!(
            "peers: ignored a confirmation of messages that another run of this process sent"
        );
        return;
    }
    observe_version(state, message.listing_version);
    let mut view = state.view.borrow_mut();
    view.start_gate.record_confirmation(message.config);
    let config = view.config.as_ref().map_or(0, |config| config.version);
    if message.config > 0 {
        let stamp = MilliTime::from_millis(message.config_stamp);
        view.confirm_config(message.config, stamp);
    }
    if config < message.config {
        state.newest_config_version.set(message.config);
        state.config_changed.notify_one();
    }
    view.update_gate(now);
    if view.has_listing && view.listing.digest() == message.listing {
        let stamp = MilliTime::from_millis(message.listing_stamp);
        let peer = PeerListing {
            confirmed: stamp,
            is_whole: message.is_listing_whole,
            grace_ms: message.listing_grace_ms,
        };
        let gap = view.listing_gap(now);
        view.engines.record_peer(&gap, &peer, now);
        view.listing_time = view.listing_time.max(stamp);
    } else if message.listing_version > view.listing.version() {
        // A list older than the present one may contain engines that have been removed since.
        state.newest_listing_version.set(message.listing_version);
        state.listing_changed.notify_one();
    }
}

/// Returns whether this process is the store reader, which confirms to the others what it reads.
pub(crate) fn is_store_reader(state: &NodeState) -> bool {
    let now = state.clock.now();
    reaches_store(state, now) && state.peers.borrow().is_elected_reader(now)
}

fn reaches_store(state: &NodeState, now: MilliTime) -> bool {
    let view = state.view.borrow();
    // A process that starts may hold an older configuration than the others and must not confirm it to them.
    view.start_gate.is_open() && !view.is_stopping && view.store_contact.is_reached(now)
}

/// Updates the view with the loads, the demand and the number of the other processes, and removes the engines that are
/// still not listed after the grace period that follows an outage of the store.
fn refresh_view(state: &NodeState, now: MilliTime) {
    let mut peers = state.peers.borrow_mut();
    peers.expire(now);
    let loads = peers.loads(now);
    let demands = peers.demands(now);
    let view = &mut *state.view.borrow_mut();
    view.update_gate(now);
    view.engines.set_peer_loads(&loads);
    let draw = (mix_seed(state.run_id ^ now.as_millis()) % RANDOM_RESOLUTION) as f64
        / RANDOM_RESOLUTION as f64;
    view.set_waiting(&state.queue.borrow());
    view.demand.set_peer_demands(&demands);
    view.demand.refresh(now);
    let sharers = |zone: &str| peers.zone_live_count(zone, now) + 1;
    view.engines.divide_capacity(sharers, &view.demand, draw);
    view.engines.expire_latency_ratios(now);
    view.engines.expire_availability(now);
    let confirmed = view.listing_time;
    for id in view.engines.remove_missing(confirmed, now) {
        spdlog::info!("engines: gone, still not listed after the grace period", kv: {
            engine = id.as_str(),
        });
    }
    state.capacity_freed.notify_waiters();
    let processes = peers.live_count(now) + 1;
    if processes != view.process_count {
        view.process_count = processes;
        view.retry_budget
            .set_burst(state.bounds.get().retry_slack / processes);
        spdlog::info!("peers: the number of live processes changed", kv: { processes = processes });
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
