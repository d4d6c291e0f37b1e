//! Configuration and membership of started processes.

mod control_support;

use control_support::ControlSystem;
use control_support::endpoint;
use control_support::entry;
use control_support::has_live;
use control_support::service_ticket;

/// Guards against processes that never learn of an accepted ticket or of each other.
#[tokio::test]
async fn ticket_reaches_every_process() {
    let mut system = ControlSystem::start().await;
    for settings in [
        entry("entry-1"),
        entry("entry-2"),
        endpoint("east"),
        endpoint("west"),
    ] {
        system.add(settings).await;
    }
    for node in 0..4 {
        system
            .wait_members(node, |members| has_live(members, 2, 2))
            .await;
    }
    let ticket = service_ticket(7, "east");
    let (status, verdict) = system.admin(1, "POST /admin/v1/tickets", &ticket).await;
    assert_eq!(
        (status, &verdict["verdict"]),
        (200, &"accepted".into()),
        "{verdict}"
    );
    for node in 0..4 {
        system
            .wait_config(node, |config| {
                config.revision == 1 && config.services.len() == 1
            })
            .await;
    }
}
