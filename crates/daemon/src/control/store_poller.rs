//! The task that polls the table service for newer configuration.

use std::sync::Arc;
use std::time::Duration;

use spdlog::warn;

use crate::node::NodeContext;

use super::config_store;
use super::is_poller;

/// The time between two polls, in milliseconds.
const POLL_INTERVAL_MS: u64 = 1_000;

/// Polls the table service each second while this process is one of the three pollers.
///
/// The other processes receive the configuration by gossip, so that the load on the table service
/// does not grow with their number.
pub(super) async fn run(context: Arc<NodeContext>) {
    let mut was_reachable = true;
    loop {
        if is_poller(&context) {
            match poll(&context).await {
                Ok(()) => was_reachable = true,
                Err(error) if was_reachable => {
                    was_reachable = false;
                    warn!(
                        "gossip: failed to read the configuration, retrying each second: {error}"
                    );
                }
                Err(_) => {}
            }
        }
        tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
}

async fn poll(context: &NodeContext) -> Result<(), dandelionroad_clients::PlatformError> {
    let held = context.config.borrow().clone();
    let newest = config_store::catch_up(context.clients.table.as_ref(), &held).await?;
    if newest.revision > held.revision {
        let delta = newest.delta_since(held.revision);
        context.control.publish_config(delta).await;
    }
    Ok(())
}
