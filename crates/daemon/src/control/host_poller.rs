//! The task that reads the platform's host list.

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

/// The time between two readings of the host list, in milliseconds.
const POLL_INTERVAL_MS: u64 = 1_000;

/// Reads the host list each second where this process polls, or as long as it knows few others.
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
                    warn!("gossip: the host list could not be read: {error}");
                }
                Err(_) => {}
            }
        }
        tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
}

/// Returns the listing of an entry, or `None` if a name of it is invalid.
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
