//! Two clusters whose processes have equal names and can reach each other.

mod control_support;

use std::net::SocketAddr;
use std::time::Duration;

use control_support::ControlSystem;
use control_support::endpoint_settings;
use control_support::entry_settings;
use control_support::has_live_members;
use control_support::service_ticket;
use dandelionroad_core::member::MemberState;
use dandelionroad_daemon::node::NodeClients;
use dandelionroad_daemon::node::NodeHandle;
use dandelionroad_daemon::node::PeerPool;
use dandelionroad_settings::NodeSettings;
use jsonrpsee::ws_client::WsClientBuilder;

/// The time in which clusters that can mix do so: some gossip rounds of one second.
const MIX_MS: u64 = 4_000;

/// The age from which a process yields its name to a later process; a younger one claims it.
const SETTLED_MS: u64 = 11_000;

/// The time within which a member that was killed counts as gone, with some reserve.
const GONE_MS: u64 = 9_000;

/// Starts a cluster with the processes `entry-1` and `east`.
async fn start_cluster(seeds: &[String]) -> ControlSystem {
    let mut system = ControlSystem::start().await;
    for settings in [entry_settings("entry-1"), endpoint_settings("east")] {
        let settings = NodeSettings {
            seeds: seeds.to_vec(),
            ..settings
        };
        system.add(settings).await;
    }
    for node in 0..2 {
        system
            .wait_for_members(node, |members| has_live_members(members, 1, 1))
            .await;
    }
    system
}

/// Asserts that each process of a cluster knows only the processes of its cluster, all live.
fn assert_unmixed(system: &ControlSystem) {
    let own: Vec<String> = system
        .nodes
        .iter()
        .map(|node| node.internal.to_string())
        .collect();
    for node in &system.nodes {
        let members = node.context.members.borrow().clone();
        for record in members.records() {
            assert!(
                own.contains(&record.address) && record.state == MemberState::Live,
                "{} of {} knows {record:?}; its cluster is at {own:?}",
                node.context.settings.name,
                system.cluster
            );
        }
    }
}

/// Guards against a cluster that takes over members and configuration of another cluster whose
/// address is among its seeds.
#[tokio::test]
async fn seeds_of_another_cluster_change_nothing() {
    let north = start_cluster(&[]).await;
    let (status, _) = north
        .send_admin_request(0, "POST /admin/v1/tickets", &service_ticket(1, "east"))
        .await;
    assert_eq!(status, 200);
    for node in 0..2 {
        north
            .wait_for_config(node, |config| config.revision == 1)
            .await;
    }
    let seeds: Vec<String> = north
        .nodes
        .iter()
        .map(|node| node.internal.to_string())
        .collect();
    let south = start_cluster(&seeds).await;
    tokio::time::sleep(Duration::from_millis(MIX_MS)).await;
    assert_unmixed(&north);
    assert_unmixed(&south);
    for node in &south.nodes {
        assert_eq!(node.context.config.borrow().revision, 0);
    }
}

/// Guards against clusters that mix when a process of one gets the port of a process of the other
/// that was killed: of two processes of one name, the earlier one leaves.
#[tokio::test]
async fn port_used_again_by_another_cluster_changes_nothing() {
    let mut north = start_cluster(&[]).await;
    let mut south = start_cluster(&[]).await;
    tokio::time::sleep(Duration::from_millis(SETTLED_MS)).await;
    let killed = north.nodes.remove(1);
    let address = killed.internal;
    killed.abort();
    drop(killed);
    let settings = NodeSettings {
        internal_listen: address,
        ..endpoint_settings("east")
    };
    let replaced = south.nodes.remove(1);
    replaced.abort();
    drop(replaced);
    wait_until_free(address).await;
    south.add(settings).await;
    // As in a rolling replacement, in which the other cluster may be faster.
    tokio::time::sleep(Duration::from_millis(MIX_MS)).await;
    let replacement = endpoint_settings("east");
    north.add(replacement).await;
    tokio::time::sleep(Duration::from_millis(MIX_MS)).await;
    assert_unmixed(&north);
    assert_unmixed(&south);
}

/// Guards against a killed process that stays a live member because a process of another cluster
/// with its name and its port answers the probes.
#[tokio::test]
async fn probe_is_not_answered_by_another_cluster() {
    let mut north = start_cluster(&[]).await;
    let killed = north.nodes.remove(1);
    let address = killed.internal;
    killed.abort();
    drop(killed);
    wait_until_free(address).await;
    let mut south = ControlSystem::start().await;
    let settings = NodeSettings {
        internal_listen: address,
        ..endpoint_settings("east")
    };
    south.add(settings).await;
    tokio::time::sleep(Duration::from_millis(GONE_MS)).await;
    let members = north.nodes[0].context.members.borrow().clone();
    let east = members.get("east").map(|record| record.state);
    assert_eq!(east, Some(MemberState::Gone));
}

/// Guards against requests that are run by a process of another cluster, and against a process of
/// the default cluster that refuses versions that name no cluster.
#[tokio::test]
async fn connection_of_another_cluster_is_refused() {
    let system = start_cluster(&[]).await;
    let address = system.nodes[0].internal.to_string();
    let own = PeerPool::new(&system.cluster);
    assert!(own.client(&address).await.is_ok());
    for cluster in ["south", NodeSettings::DEFAULT_CLUSTER] {
        let error = PeerPool::new(cluster).client(&address).await.unwrap_err();
        assert!(error.to_string().contains("421"), "{cluster}: {error}");
    }
    let url = format!("ws://{address}");
    assert!(WsClientBuilder::default().build(&url).await.is_err());
    let settings = NodeSettings::entry("entry-1");
    let clients = NodeClients::from_settings(&settings);
    let unnamed = NodeHandle::start(settings, clients).await.unwrap();
    let url = format!("ws://{}", unnamed.internal);
    assert!(WsClientBuilder::default().build(&url).await.is_ok());
}

/// Waits until the listener of an aborted process has closed.
async fn wait_until_free(address: SocketAddr) {
    let waiting = async {
        while std::net::TcpListener::bind(address).is_err() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let waited = tokio::time::timeout(Duration::from_secs(5), waiting).await;
    assert!(waited.is_ok(), "{address} was not closed");
}
