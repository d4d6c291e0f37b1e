use std::net::SocketAddr;
use std::time::Duration;

use dandelionroad_core::relay::StoreVersion;
use dandelionroad_core::route::hash_text;
use dandelionroad_core::time::MilliTime;
use serde::Deserialize;
use serde::Serialize;

use crate::node::NodeState;
use crate::store::StoreClient;
use crate::wire::StoreReply;
use crate::wire::StoreTable;
use crate::wire::StoreWrite;

use super::peer_task::RETRY_PAUSE_MS;

/// The interval at which the list of processes is read from the store, in milliseconds.
///
/// A starting process announces itself to the listed ones with its load messages; the read finds
/// processes whose announcement was lost.
const MEMBER_READ_INTERVAL_MS: u64 = 60_000;

/// The time over which the processes list themselves again after the store has come back from an older copy, in
/// milliseconds.
///
/// Each has its own time by its name, so that 300 processes don't write in one moment.
const REWRITE_SPREAD_MS: u64 = 2_000;

/// The stored row of a relay process.
#[derive(Debug, Deserialize, Serialize)]
struct MemberRow {
    /// The address at which it receives datagrams.
    address: SocketAddr,
}

/// Lists this process in the store, again in each era, and reads the addresses of the others.
pub(super) async fn track_members(state: &NodeState, store: &StoreClient) {
    let row = MemberRow {
        address: state.settings.peer_address,
    };
    let value = serde_json::to_vec(&row).unwrap_or_default();
    let spread_ms = hash_text(0, &state.settings.name) % REWRITE_SPREAD_MS;
    let mut listed_at: Option<StoreVersion> = None;
    let mut next_read = MilliTime::default();
    loop {
        if !is_listed(state, listed_at) {
            listed_at = write_member(state, store, &value).await;
        }
        let now = state.clock.now();
        if now >= next_read {
            next_read = match read_members(state, store).await {
                true => now.plus(MEMBER_READ_INTERVAL_MS),
                false => now,
            };
            if next_read == now {
                listed_at = None;
            }
        }
        let pause_ms = match is_listed(state, listed_at) {
            true => next_read.since(state.clock.now()),
            false => RETRY_PAUSE_MS,
        };
        let pause = Duration::from_millis(pause_ms);
        let changed = tokio::time::timeout(pause, state.era_changed.notified()).await;
        if changed.is_ok() {
            tokio::time::sleep(Duration::from_millis(spread_ms)).await;
        }
    }
}

/// Returns whether this process was listed in the newest era of the store.
fn is_listed(state: &NodeState, listed_at: Option<StoreVersion>) -> bool {
    let newest = state.view.borrow().era.newest();
    match (listed_at, newest) {
        (Some(listed_at), Some(newest)) => listed_at.is_of_same_era(newest),
        _ => false,
    }
}

/// Lists this process in the store; returns the version of the store after the write, or `None` if it failed.
async fn write_member(
    state: &NodeState,
    store: &StoreClient,
    value: &[u8],
) -> Option<StoreVersion> {
    let write = StoreWrite {
        table: StoreTable::Members,
        key: state.settings.name.clone(),
        value: value.to_vec(),
        expected_version: None,
    };
    match store.write(write).await {
        Ok(StoreReply::Written { version, .. }) => return Some(version),
        Ok(other) => spdlog::warn!(
            "peers: can't list this process in the store, retrying: unexpected reply {other:?}"
        ),
        Err(error) => {
            spdlog::warn!("peers: can't list this process in the store, retrying: {error}")
        }
    }
    None
}

/// Adds the processes that are listed in the store; returns false if they can't be read.
async fn read_members(state: &NodeState, store: &StoreClient) -> bool {
    let rows = match store.read(StoreTable::Members).await {
        Ok((rows, _, _)) => rows,
        Err(error) => {
            spdlog::warn!("peers: can't read the list of processes, retrying: {error}");
            return false;
        }
    };
    let now = state.clock.now();
    for row in rows {
        let Some(value) = row.value else { continue };
        match serde_json::from_slice::<MemberRow>(&value) {
            Ok(member) if member.address == state.settings.peer_address => {}
            Ok(member) => state.peers.borrow_mut().add_listed(member.address, now),
            Err(error) => {
                spdlog::warn!("peers: member row {} ignored: {error}", row.key)
            }
        }
    }
    true
}
