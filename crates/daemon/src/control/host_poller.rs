//! The task that polls the platform's host list.

use std::sync::Arc;
use std::time::Duration;

use dandelionroad_clients::host::HostEntry;
use dandelionroad_core::ident::HostName;
use dandelionroad_core::ident::ZoneName;
use dandelionroad_core::member::GossipEvent;
use dandelionroad_core::member::HostListing;
use dandelionroad_core::member::MemberRecord;
use dandelionroad_core::member::MemberState;
use spdlog::warn;

use crate::node::NodeContext;

use super::is_poller;

/// The time between two polls, in milliseconds.
const POLL_INTERVAL_MS: u64 = 1_000;

/// Polls the host list each second while this process is a poller or knows no other member.
///
/// A process without other members can't learn of them by gossip, so it polls whatever its role.
pub(super) async fn run(context: Arc<NodeContext>) {
    let mut was_reachable = true;
    loop {
        if is_poller(&context) || context.members.borrow().records().len() <= 1 {
            match context.clients.host.list().await {
                Ok(entries) => {
                    was_reachable = true;
                    let listings = entries.iter().filter_map(new_listing).collect();
                    context
                        .control
                        .send(GossipEvent::HostsListed(listings))
                        .await;
                }
                Err(error) if was_reachable => {
                    was_reachable = false;
                    warn!("gossip: failed to read the host list, retrying each second: {error}");
                }
                Err(_) => {}
            }
        }
        tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
}

/// Returns the listing of an entry of the host list, or `None` if one of its names is invalid.
fn new_listing(entry: &HostEntry) -> Option<HostListing> {
    let record = MemberRecord {
        name: entry.name.clone(),
        role: entry.role,
        host: HostName::parse(&entry.host).ok()?,
        zone: ZoneName::parse(&entry.zone).ok()?,
        address: entry.address.clone(),
        incarnation: 0,
        state: MemberState::Live,
        sequence: 0,
        held: None,
    };
    let leaving = entry.leaving;
    Some(HostListing { record, leaving })
}
