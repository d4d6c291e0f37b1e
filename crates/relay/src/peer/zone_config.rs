use std::time::Duration;

use crate::node::NodeState;
use crate::wire::StoreRow;

use super::fetch_rows::fetch_config_from;

/// The pause before each attempt to fetch the configuration, in milliseconds.
///
/// The zone's first process hears of the change at the same time and fetches it itself first.
const FETCH_DELAY_MS: u64 = 40;

/// The number of attempts before the caller falls back to the store.
const MAX_ATTEMPTS: usize = 3;

/// Fetches a changed configuration from the first process of this availability zone, which fetches it from
/// the store reader.
///
/// If each process read the store itself, a change would cost one or two calls per process. `adopt`
/// returns whether the fetched rows contain the change; if not, they are fetched again. Returns whether
/// the change was adopted; otherwise the caller must read the store itself.
pub(crate) async fn adopt_zone_config(
    state: &NodeState,
    mut adopt: impl FnMut(&[StoreRow]) -> bool,
) -> bool {
    for _ in 0..MAX_ATTEMPTS {
        tokio::time::sleep(Duration::from_millis(FETCH_DELAY_MS)).await;
        let source = {
            let (peers, now) = (state.peers.borrow(), state.clock.now());
            peers.zone_source(now).or_else(|| peers.store_reader(now))
        };
        let Some(source) = source else {
            return false;
        };
        match fetch_config_from(state, source).await {
            Some(rows) if adopt(&rows) => return true,
            Some(_) => {}
            None => return false,
        }
    }
    false
}
