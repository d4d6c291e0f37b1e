//! Configuration and membership of nodes that share a table service and a host list.

mod control_support;

use control_support::ControlSystem;
use control_support::endpoint_settings;
use control_support::entry_settings;
use control_support::has_live_members;
use control_support::request;
use control_support::service_ticket;
use dandelionroad_clients::table::RowWrite;
use dandelionroad_clients::table::TableCommit;
use dandelionroad_core::config::ChangeTicket;
use dandelionroad_core::config::CommitPlan;
use dandelionroad_core::config::ConfigState;
use dandelionroad_core::member::MemberState;
use dandelionroad_standins::server::FaultPlan;
use dandelionroad_standins::server::ServerMode;

/// Guards against processes that don't learn of each other from the host list, and against an
/// accepted ticket that gossip does not spread to every process.
#[tokio::test]
async fn ticket_reaches_every_process() {
    let mut system = ControlSystem::start().await;
    for settings in [
        entry_settings("entry-1"),
        entry_settings("entry-2"),
        endpoint_settings("east"),
        endpoint_settings("west"),
    ] {
        system.add(settings).await;
    }
    for node in 0..4 {
        system
            .wait_for_members(node, |members| has_live_members(members, 2, 2))
            .await;
    }
    let ticket = service_ticket(7, "east");
    let (status, verdict) = system
        .send_admin_request(1, "POST /admin/v1/tickets", &ticket)
        .await;
    assert_eq!(
        (status, &verdict["verdict"]),
        (200, &"accepted".into()),
        "{verdict}"
    );
    for node in 0..4 {
        system
            .wait_for_config(node, |config| {
                config.revision == 1 && config.services.len() == 1
            })
            .await;
    }
}

/// Guards against a process that can't start, or gets no configuration, while the table service is
/// down: peers must supply the configuration.
#[tokio::test]
async fn process_starts_while_table_is_down() {
    let mut system = ControlSystem::start().await;
    system.add(entry_settings("entry-1")).await;
    let ticket = service_ticket(1, "east");
    let (status, _) = system
        .send_admin_request(0, "POST /admin/v1/tickets", &ticket)
        .await;
    assert_eq!(status, 200);
    system.table.faults().set(FaultPlan {
        mode: ServerMode::Down,
        ..FaultPlan::default()
    });
    system.add(endpoint_settings("east")).await;
    system
        .wait_for_config(1, |config| config.revision == 1)
        .await;
    let ticket = service_ticket(2, "east");
    let (status, verdict) = system
        .send_admin_request(0, "POST /admin/v1/tickets", &ticket)
        .await;
    assert_eq!((status, &verdict["verdict"]), (503, &"store-down".into()));
}

/// Guards against a killed process that stays a live member, and against a wait for a revision that
/// never ends because of it.
#[tokio::test]
async fn members_follow_probes() {
    let mut system = ControlSystem::start().await;
    for settings in [
        entry_settings("entry-1"),
        entry_settings("entry-2"),
        endpoint_settings("east"),
    ] {
        system.add(settings).await;
    }
    for node in 0..3 {
        system
            .wait_for_members(node, |members| has_live_members(members, 2, 1))
            .await;
    }
    system.nodes[2].abort();
    let (_, answer) = system
        .send_admin_request(0, "GET /admin/v1/wait?revision=0&timeout_ms=0", "")
        .await;
    assert_eq!(answer["in_force"], false, "{answer}");
    assert_eq!(answer["lagging"][0]["name"], "east", "{answer}");
    for node in 0..2 {
        system
            .wait_for_members(node, |members| {
                let known = members.get("east");
                known.is_some_and(|known| known.state == MemberState::Gone)
            })
            .await;
    }
    let (_, answer) = system
        .send_admin_request(0, "GET /admin/v1/wait?revision=0", "")
        .await;
    assert_eq!(answer["in_force"], true, "{answer}");
}

/// Guards against administration paths that answer without the admin token.
#[tokio::test]
async fn admin_requires_token() {
    let mut system = ControlSystem::start().await;
    system.add(entry_settings("entry-1")).await;
    let address = system.nodes[0].admin.unwrap();
    for path in [
        "tickets", "config", "revision", "members", "bound", "absent",
    ] {
        let head = format!("GET /admin/v1/{path}");
        assert_eq!(request(address, &head, "wrong", "").await.0, 401, "{path}");
    }
}

/// Guards against a process that fails to start, or replays the whole log, when it is more
/// revisions behind than the limit for a replay: it must read the objects and then the rest of the
/// log.
#[tokio::test]
async fn entry_starts_far_behind() {
    const REVISIONS: u64 = 1_030;
    let mut system = ControlSystem::start().await;
    let mut expected = ConfigState::new();
    for number in 1..=REVISIONS {
        let ticket = service_ticket(number, &format!("node-{number}"));
        let ticket = ChangeTicket::parse(ticket.as_bytes()).unwrap();
        let plan = CommitPlan::new(&ticket, "token", 0, number - 1, &[]);
        let writes = plan.writes.into_iter().map(|write| RowWrite {
            key: write.key,
            value: Some(write.value),
        });
        system.table.commit(&TableCommit {
            checks: Vec::new(),
            writes: writes.collect(),
        });
        expected.apply(&ticket);
    }
    system.add(entry_settings("entry-1")).await;
    system
        .wait_for_config(0, |config| *config == expected)
        .await;
    // Replaying the log would take five scans; the objects and the rest of the log take two.
    assert!(
        system.table.counts().scans < 5,
        "{:?}",
        system.table.counts()
    );
}
