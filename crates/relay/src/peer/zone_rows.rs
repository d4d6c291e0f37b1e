use std::time::Duration;

use crate::node::NodeState;
use crate::wire::StoreRow;
use crate::wire::StoreTable;

use super::fetch_rows::fetch_rows_from;

/// The pause before each attempt to fetch rows, in milliseconds.
///
/// The zone's reader receives the confirmation at the same time and needs a few milliseconds to read the
/// change from the store.
const FETCH_DELAY_MS: u64 = 40;

/// The time-out for fetching rows, in milliseconds.
///
/// Three attempts, each after the pause above, take 570 ms at most. A change must be in force within two
/// seconds.
const FETCH_TIMEOUT_MS: u64 = 150;

/// The number of attempts before the caller falls back to the store.
const MAX_ATTEMPTS: usize = 3;

/// Fetches changed rows from the process that reads the store for this availability zone.
///
/// If each process read the store itself, a change would cost one or two calls per process. `adopt`
/// returns whether the fetched rows contain the change; if not, they are fetched again. Returns whether
/// the change was adopted; otherwise the caller must read the store itself.
pub(crate) async fn adopt_zone_rows(
    state: &NodeState,
    table: StoreTable,
    mut adopt: impl FnMut(&[StoreRow]) -> bool,
) -> bool {
    for _ in 0..MAX_ATTEMPTS {
        tokio::time::sleep(Duration::from_millis(FETCH_DELAY_MS)).await;
        let now = state.clock.now();
        let settings = &state.settings;
        let reader = state
            .peers
            .borrow()
            .zone_reader(&settings.zone, settings.peer_address, now);
        let Some(reader) = reader else {
            return false;
        };
        match fetch_rows_from(state, reader, table, FETCH_TIMEOUT_MS).await {
            Some(rows) if adopt(&rows) => return true,
            Some(_) => {}
            None => return false,
        }
    }
    false
}
