use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dandelionroad_core::time::MilliTime;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::UdpSocket;

use crate::node::NodeState;
use crate::store::StoreClient;
use crate::wire::StoreTable;
use crate::wire::StoreWrite;

use super::PeerLoad;
use super::PeerMessage;

/// The time between two messages to each process, in milliseconds.
///
/// A request lasts two seconds and more, so a message reports most of the requests that it concerns
/// within a tenth of their time.
const SEND_INTERVAL_MS: u64 = 200;

/// The time between two reads of the list of processes, in milliseconds.
///
/// A process that starts tells the listed ones itself; the read finds those that could not be told.
const LIST_INTERVAL_MS: u64 = 10_000;

/// The pause before an entry in the list of processes is tried again, in milliseconds.
const RETRY_PAUSE_MS: u64 = 1_000;

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
        receive_loads(&state, &socket),
        follow_list(&state, &store),
    );
}

async fn send_loads(state: &NodeState, socket: &UdpSocket) {
    // A later start of the same process goes on with a higher sequence.
    let mut sequence = state.clock.now().as_millis();
    loop {
        tokio::time::sleep(Duration::from_millis(SEND_INTERVAL_MS)).await;
        let now = state.clock.now();
        sequence += 1;
        refresh(state, now);
        let message = PeerMessage {
            name: state.settings.name.clone(),
            sequence,
            reaches_store: state.view.borrow().config_age.is_fresh(now),
            loads: own_loads(state),
        };
        let Ok(bytes) = serde_json::to_vec(&message) else {
            continue;
        };
        let addresses = state.peers.borrow().addresses();
        for address in addresses {
            if let Err(error) = socket.send_to(&bytes, address).await {
                spdlog::debug!("peers: can't send to {address}: {error}");
            }
        }
    }
}

async fn receive_loads(state: &NodeState, socket: &UdpSocket) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, address)) => match serde_json::from_slice(&buffer[..length]) {
                Ok(message) => {
                    let now = state.clock.now();
                    state.peers.borrow_mut().heard(address, message, now);
                }
                Err(error) => spdlog::warn!("peers: datagram from {address} left out: {error}"),
            },
            Err(error) => {
                spdlog::warn!("peers: can't receive: {error}");
                tokio::time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
            }
        }
    }
}

/// Lists this process in the store and learns of the others.
async fn follow_list(state: &NodeState, store: &StoreClient) {
    let row = MemberRow {
        address: state.settings.peers,
    };
    let value = serde_json::to_vec(&row).unwrap_or_default();
    let mut is_listed = false;
    loop {
        if !is_listed {
            let write = StoreWrite {
                table: StoreTable::Members,
                key: state.settings.name.clone(),
                value: value.clone(),
                expected: None,
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
                        Ok(member) if member.address == state.settings.peers => {}
                        Ok(member) => state.peers.borrow_mut().listed(member.address, now),
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
    state.room.notify_waiters();
    let processes = peers.live(now) + 1;
    if processes != view.processes {
        view.processes = processes;
        view.retries
            .set_burst(state.settings.retry_slack / processes);
        spdlog::info!("peers: live processes", kv: { processes = processes });
    }
}

fn own_loads(state: &NodeState) -> Vec<PeerLoad> {
    let view = state.view.borrow();
    let busy = view
        .engines
        .entries()
        .iter()
        .filter(|entry| entry.own_requests > 0);
    let load = |entry: &dandelionroad_core::relay::EngineEntry| PeerLoad {
        engine: entry.record.id.clone(),
        requests: entry.own_requests,
        units: entry.own_units as u64,
    };
    busy.map(load).collect()
}
