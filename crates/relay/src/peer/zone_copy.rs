use std::time::Duration;

use crate::node::NodeState;
use crate::wire::StoreRow;
use crate::wire::StoreTable;

use super::fetch_rows::fetch_rows_from;

/// The pause before rows are asked for, in milliseconds.
///
/// The process that is asked hears of the change at the same time and needs a few milliseconds for
/// its own read.
const READ_PAUSE_MS: u64 = 40;

/// The longest wait for rows, in milliseconds.
///
/// Three waits and pauses leave most of the two seconds in which a change is to be in force.
const COPY_WAIT_MS: u64 = 150;

/// How often rows are asked for before the store is read instead.
const COPY_TRIES: usize = 3;

/// Takes changed rows from the process that reads the store for its availability zone.
///
/// If each process read the store, a change would cost a call or two for each of them. `take` tells
/// whether the rows are the changed ones. Returns whether they were had; the caller reads the store
/// itself otherwise.
pub(crate) async fn take_zone_copy(
    state: &NodeState,
    table: StoreTable,
    mut take: impl FnMut(&[StoreRow]) -> bool,
) -> bool {
    for _ in 0..COPY_TRIES {
        tokio::time::sleep(Duration::from_millis(READ_PAUSE_MS)).await;
        let now = state.clock.now();
        let settings = &state.settings;
        let reader = state
            .peers
            .borrow()
            .zone_reader(&settings.zone, settings.peer_address, now);
        let Some(reader) = reader else {
            return false;
        };
        match fetch_rows_from(state, reader, table, COPY_WAIT_MS).await {
            Some(rows) if take(&rows) => return true,
            Some(_) => {}
            None => return false,
        }
    }
    false
}
