//! The HTTP clients of the outside systems, run against the stand-ins.
//!
//! An error of a client must state correctly whether the call may have taken effect, since the
//! callers decide by it whether a retry is safe.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use dandelionroad_clients::PlatformError;
use dandelionroad_clients::host::HostClient;
use dandelionroad_clients::host::HostEntry;
use dandelionroad_clients::host::HttpHost;
use dandelionroad_clients::object::HttpObject;
use dandelionroad_clients::object::ObjectClient;
use dandelionroad_clients::service::HttpService;
use dandelionroad_clients::service::ServiceCall;
use dandelionroad_clients::service::ServiceClient;
use dandelionroad_clients::table::CommitReply;
use dandelionroad_clients::table::HttpTable;
use dandelionroad_clients::table::RowCheck;
use dandelionroad_clients::table::RowWrite;
use dandelionroad_clients::table::TableClient;
use dandelionroad_clients::table::TableCommit;
use dandelionroad_core::member::MemberRole;
use dandelionroad_standins::booking::BookingStandin;
use dandelionroad_standins::host::HostStandin;
use dandelionroad_standins::object::ObjectStandin;
use dandelionroad_standins::server::ServerMode;
use dandelionroad_standins::table::TableStandin;

/// A client deadline that no call of a test reaches.
const LONG_DEADLINE: Duration = Duration::from_secs(20);

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

fn insert(key: &str, value: &str) -> TableCommit {
    let check = RowCheck {
        key: key.to_owned(),
        version: None,
    };
    let write = RowWrite {
        key: key.to_owned(),
        value: Some(value.to_owned()),
    };
    TableCommit {
        checks: vec![check],
        writes: vec![write],
    }
}

fn booking(key: &str) -> ServiceCall {
    ServiceCall {
        method: "POST".to_owned(),
        path: "/book".to_owned(),
        content_type: "application/json".to_owned(),
        body: r#"{"item":"hawser","quantity":2}"#.to_owned(),
        key: Some(key.to_owned()),
        fence: 1,
    }
}

/// Guards against two inserts of one row that both succeed, and against keys that are not encoded
/// in the URL, so that a read or scan finds another row.
#[tokio::test]
async fn table_insert_conflicts_and_reads_back() {
    let standin = TableStandin::start(any_port()).await.unwrap();
    let table = HttpTable::new(&standin.url(), LONG_DEADLINE);
    let key = "call/a b/%/0";
    assert_eq!(
        table.commit(&insert(key, "one")).await.unwrap(),
        CommitReply::Committed
    );
    let conflict = CommitReply::Conflict {
        key: key.to_owned(),
    };
    assert_eq!(table.commit(&insert(key, "two")).await.unwrap(), conflict);
    assert_eq!(table.read(key).await.unwrap().unwrap().value, "one");
    assert_eq!(table.read("call/absent").await.unwrap(), None);
    table.commit(&insert("call/b", "three")).await.unwrap();
    let rows = table.scan("call/", key, 10).await.unwrap();
    assert_eq!(
        rows.iter().map(|row| row.key.as_str()).collect::<Vec<_>>(),
        ["call/b"]
    );
}

/// Guards against a lost answer that is reported as a request that was never sent, so that a retry
/// writes twice, and against a refused connection that is reported as a lost answer.
#[tokio::test]
async fn table_errors_distinguish_sent_from_unsent() {
    let standin = TableStandin::start(any_port()).await.unwrap();
    let table = HttpTable::new(&standin.url(), LONG_DEADLINE);
    standin.faults().change(|plan| plan.cut_after = 1);
    let lost = table.commit(&insert("a", "one")).await;
    assert!(
        matches!(lost, Err(PlatformError::Indeterminate { .. })),
        "{lost:?}"
    );
    assert_eq!(table.read("a").await.unwrap().unwrap().value, "one");
    standin.faults().change(|plan| plan.cut_before = 1);
    let lost = table.commit(&insert("b", "one")).await;
    assert!(
        matches!(lost, Err(PlatformError::Indeterminate { .. })),
        "{lost:?}"
    );
    assert_eq!(table.read("b").await.unwrap(), None);
    standin.faults().set_mode(ServerMode::Down);
    while table.read("a").await.is_ok() {}
    let refused = table.commit(&insert("c", "one")).await;
    assert!(
        matches!(refused, Err(PlatformError::Unreachable { .. })),
        "{refused:?}"
    );
    standin.faults().set_mode(ServerMode::Up);
    while table.read("c").await.is_err() {}
    assert_eq!(table.read("c").await.unwrap(), None);
}

/// Guards against a caller that waits indefinitely for a frozen service, and against a time-out
/// that is reported as a request that was never sent.
#[tokio::test]
async fn commit_to_frozen_table_is_indeterminate_after_deadline() {
    let standin = TableStandin::start(any_port()).await.unwrap();
    let table = HttpTable::new(&standin.url(), Duration::from_millis(50));
    standin.faults().set_mode(ServerMode::Frozen);
    let lost = table.commit(&insert("a", "one")).await;
    assert!(
        matches!(lost, Err(PlatformError::Indeterminate { .. })),
        "{lost:?}"
    );
}

/// Guards against a booking that runs twice because the client retries it when the connection
/// breaks.
#[tokio::test]
async fn service_call_is_sent_once() {
    let standin = BookingStandin::start(any_port()).await.unwrap();
    let service = HttpService::new(&standin.url(), LONG_DEADLINE);
    let answer = service.call(&booking("k1")).await.unwrap();
    assert_eq!((answer.status, standin.runs("k1")), (201, 1));
    standin.faults().change(|plan| plan.cut_after = 1);
    let lost = service.call(&booking("k2")).await;
    assert!(
        matches!(lost, Err(PlatformError::Indeterminate { .. })),
        "{lost:?}"
    );
    assert_eq!(standin.runs("k2"), 1);
    standin.faults().change(|plan| plan.crash_before = 1);
    let lost = service.call(&booking("k3")).await;
    assert!(
        matches!(lost, Err(PlatformError::Indeterminate { .. })),
        "{lost:?}"
    );
    loop {
        match service.call(&booking("k4")).await {
            Err(PlatformError::Unreachable { .. }) => break,
            Err(PlatformError::Indeterminate { .. }) => {}
            other => panic!("expected an error from a stand-in that is down, got {other:?}"),
        }
    }
    assert_eq!((standin.runs("k3"), standin.runs("k4")), (0, 0));
}

/// Guards against a booking that a stale endpoint makes after its successor, because the client
/// does not send the fencing token by which the service rejects it.
#[tokio::test]
async fn service_call_with_lower_fence_is_rejected() {
    let standin = BookingStandin::start(any_port()).await.unwrap();
    let service = HttpService::new(&standin.url(), LONG_DEADLINE);
    standin.faults().change(|plan| plan.checks_fence = true);
    let newer = ServiceCall {
        fence: 2,
        ..booking("k1")
    };
    assert_eq!(service.call(&newer).await.unwrap().status, 201);
    assert_eq!(service.call(&booking("k2")).await.unwrap().status, 412);
    assert_eq!(standin.runs("k2"), 0);
}

/// Guards against objects that are read back changed, and against a host list that returns its
/// current state although its `lags` switch is set.
#[tokio::test]
async fn object_and_host_round_trips() {
    let standin = ObjectStandin::start(any_port()).await.unwrap();
    let objects = HttpObject::new(&standin.url(), LONG_DEADLINE);
    assert_eq!(objects.get("a/b").await.unwrap(), None);
    objects
        .put("a/b", Bytes::from_static(b"body"))
        .await
        .unwrap();
    assert_eq!(objects.get("a/b").await.unwrap().unwrap(), "body");

    let standin = HostStandin::start(any_port()).await.unwrap();
    let hosts = HttpHost::new(&standin.url(), LONG_DEADLINE);
    let entry = HostEntry {
        name: "e1".to_owned(),
        role: MemberRole::Endpoint,
        host: "h1".to_owned(),
        zone: "talca".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        leaving: false,
    };
    standin.set(vec![entry.clone()]);
    standin.faults().change(|plan| plan.lags = true);
    standin.change(|entries| entries[0].leaving = true);
    assert_eq!(hosts.list().await.unwrap(), [entry]);
    standin.faults().change(|plan| plan.lags = false);
    assert!(hosts.list().await.unwrap()[0].leaving);
}
