//! One fault at a time, and what the caller is told.

use dandelionroad_clients::table::RowWrite;
use dandelionroad_clients::table::TableCommit;
use dandelionroad_core::dispatch::CallOrder;
use dandelionroad_core::dispatch::CallReply;
use dandelionroad_core::ident::AccountName;
use dandelionroad_core::ident::RequestIdent;
use dandelionroad_core::ident::ServiceName;
use dandelionroad_core::member::MemberState;
use dandelionroad_core::outcome::RefusalReason;
use dandelionroad_core::outcome::RequestOutcome;
use dandelionroad_messages::call_api::CallApiClient;
use dandelionroad_standins::server::ServerMode;

use super::support::CallSystem;

/// Guards against a second run for a repeat, against answers of another request with the same key,
/// and against calls without a key.
#[tokio::test]
async fn booking_repeat_is_replayed() {
    let system = CallSystem::start(2, 2).await;
    let first = system.book(0, "k").await;
    assert_eq!((first.status, first.is_replayed), (201, false), "{first:?}");
    let second = system.book(1, "k").await;
    assert_eq!(
        (second.status, second.is_replayed),
        (201, true),
        "{second:?}"
    );
    assert_eq!(second.body, first.body);
    let other = system
        .call(1, "POST /services/booking/book", Some("k"), "{}")
        .await;
    assert_eq!(
        (other.status, other.outcome.as_str()),
        (422, "not-run"),
        "{other:?}"
    );
    let keyless = system
        .call(0, "POST /services/booking/book", None, "{}")
        .await;
    assert_eq!(
        (keyless.status, keyless.outcome.as_str()),
        (400, "not-run"),
        "{keyless:?}"
    );
    let foreign = system
        .call(0, "POST /services/payments/charge", Some("k"), "{}")
        .await;
    assert_eq!(
        (foreign.status, foreign.reason.as_str()),
        (404, "not-found"),
        "{foreign:?}"
    );
    let stock = system
        .call(0, "GET /services/booking/stock/hawser", None, "")
        .await;
    assert_eq!(
        (stock.status, &stock.body["stock"]),
        (200, &999_998.into()),
        "{stock:?}"
    );
    assert_eq!(system.booking.total_runs(), 1);
}

/// Guards against two runs when a repeat arrives at another entry while the first call runs, and
/// against a repeat that does not wait for its answer.
#[tokio::test]
async fn booking_repeat_waits_for_running_call() {
    let system = CallSystem::start(2, 2).await;
    system
        .booking
        .faults()
        .change(|plan| plan.answer_delay_ms = 300);
    let second = async {
        system.wait("run", || system.runs("k") == 1).await;
        system.book(1, "k").await
    };
    let (first, second) = tokio::join!(system.book(0, "k"), second);
    assert_eq!((first.status, first.is_replayed), (201, false), "{first:?}");
    assert_eq!(
        (second.status, second.is_replayed),
        (201, true),
        "{second:?}"
    );
    assert_eq!(system.runs("k"), 1);
}

/// Guards against a second run after the connection to the service was cut, and against `unknown`
/// where the service can tell the outcome.
#[tokio::test]
async fn booking_cut_connection_asks_service() {
    let system = CallSystem::start(1, 2).await;
    system.booking.faults().change(|plan| plan.cut_after = 1);
    let found = system.book(0, "ran").await;
    assert_eq!((found.status, found.is_replayed), (200, true), "{found:?}");
    assert_eq!(found.body["key"], "cordeleria:ran");
    system.booking.faults().change(|plan| plan.cut_before = 1);
    for _ in 0..2 {
        let lost = system.book(0, "lost").await;
        assert_eq!(
            (lost.status, lost.outcome.as_str()),
            (502, "unknown"),
            "{lost:?}"
        );
    }
    assert_eq!((system.runs("ran"), system.runs("lost")), (1, 0));
}

/// Guards against `unknown` for a call that provably did not reach the service, and against a
/// repeat that is refused after that.
#[tokio::test]
async fn booking_refused_connection_is_not_run() {
    let system = CallSystem::start(1, 2).await;
    system.booking.faults().set_mode(ServerMode::Down);
    let refused = system.book(0, "k").await;
    assert_eq!(
        (refused.status, refused.outcome.as_str()),
        (503, "not-run"),
        "{refused:?}"
    );
    assert!(refused.has_retry_after, "{refused:?}");
    system.booking.faults().set_mode(ServerMode::Up);
    let booked = system.book(0, "k").await;
    assert_eq!(
        (booked.status, booked.is_replayed),
        (201, false),
        "{booked:?}"
    );
    assert_eq!(system.runs("k"), 1);
}

/// Guards against runs without a row while the store is down, and against idempotent calls that
/// stop with the store.
#[tokio::test]
async fn booking_store_down_is_not_run() {
    let system = CallSystem::start(1, 2).await;
    system.table.faults().set_mode(ServerMode::Down);
    let refused = system.book(0, "k").await;
    let expected = (503, "not-run", "store-down");
    let told = (
        refused.status,
        refused.outcome.as_str(),
        refused.reason.as_str(),
    );
    assert_eq!(told, expected, "{refused:?}");
    assert!(refused.has_retry_after, "{refused:?}");
    let stock = system
        .call(0, "GET /services/stock/stock/hawser", None, "")
        .await;
    assert_eq!(stock.status, 200, "{stock:?}");
    system.table.faults().set_mode(ServerMode::Up);
    let booked = system.book(0, "k").await;
    assert_eq!((booked.status, system.runs("k")), (201, 1), "{booked:?}");
}

/// Guards against a second run when the answer to the insert of the row is lost.
#[tokio::test]
async fn booking_lost_store_answer_runs_once() {
    let system = CallSystem::start(1, 2).await;
    for lost in 1..4 {
        system.table.faults().change(|plan| plan.cut_after = lost);
        let key = format!("k{lost}");
        let booked = system.book(0, &key).await;
        assert_eq!((booked.status, system.runs(&key)), (201, 1), "{booked:?}");
        let is_recorded = || {
            let rows = system.table.rows("call/");
            rows.iter()
                .filter(|row| row.value.contains("\"done\""))
                .count()
                == lost as usize
        };
        system.wait("recorded outcome", is_recorded).await;
    }
}

/// Guards against a second run after the process of the running endpoint died, and against a lost
/// outcome that the service knows.
#[tokio::test]
async fn booking_killed_runner_runs_once() {
    let mut system = CallSystem::start(2, 1).await;
    system
        .booking
        .faults()
        .change(|plan| plan.answer_delay_ms = 60_000);
    let mut endpoint = system.endpoints.remove(0);
    let kill = async {
        system.wait("run", || system.runs("k") == 1).await;
        system
            .booking
            .faults()
            .change(|plan| plan.answer_delay_ms = 0);
        endpoint.kill();
        system.start_endpoint(0).await
    };
    let (first, endpoint) = tokio::join!(system.book(0, "k"), kill);
    assert!(
        first.status == 200 || first.outcome == "unknown",
        "{first:?}"
    );
    let address = endpoint.handle.internal.to_string();
    let context = system.entries[1].handle.context.clone();
    let is_known = || {
        let members = context.members.borrow();
        members
            .get("endpoint-0")
            .is_some_and(|record| record.address == address)
    };
    system.wait("restarted endpoint", is_known).await;
    let second = system.book(1, "k").await;
    assert_eq!(
        (second.status, second.is_replayed),
        (200, true),
        "{second:?}"
    );
    assert_eq!(system.runs("k"), 1);
}

/// Guards against a second run, and against a lost outcome, when the entry dies while the call runs
/// and the caller repeats it at another entry.
#[tokio::test]
async fn booking_killed_entry_is_replayed_elsewhere() {
    let mut system = CallSystem::start(2, 2).await;
    system
        .booking
        .faults()
        .change(|plan| plan.answer_delay_ms = 300);
    tokio::select! {
        first = system.book(0, "k") => panic!("answered before the entry died: {first:?}"),
        () = system.wait("run", || system.runs("k") == 1) => {}
    }
    system.entries[0].kill();
    let second = system.book(1, "k").await;
    assert_eq!(
        (second.status, second.is_replayed),
        (201, true),
        "{second:?}"
    );
    assert_eq!(system.runs("k"), 1);
}

/// Guards against new work at an endpoint that is leaving.
#[tokio::test]
async fn booking_leaving_endpoint_gets_no_work() {
    let system = CallSystem::start(1, 2).await;
    let leaving = &system.endpoints[0].handle.context;
    leaving
        .own
        .send_modify(|own| own.state = MemberState::Leaving);
    let peers = &system.entries[0].handle.context.peers;
    let address = leaving.own.borrow().address.clone();
    let client = peers.client(&address).await.unwrap();
    let CallReply::Refused {
        outcome, reason, ..
    } = client.call_run(order()).await.unwrap().reply
    else {
        panic!("a leaving endpoint must refuse new work");
    };
    assert_eq!(
        (outcome, reason),
        (RequestOutcome::NotRun, RefusalReason::Leaving)
    );
    for index in 0..6 {
        let booked = system.book(0, &format!("k{index}")).await;
        assert_eq!(booked.status, 201, "{booked:?}");
    }
    let rows = system.table.rows("call/");
    let at_leaving = rows
        .iter()
        .filter(|row| row.value.contains("endpoint-0"))
        .count();
    assert_eq!((rows.len(), at_leaving), (6, 0));
}

/// Guards against callers that notice the death of one endpoint: idempotent calls and bookings that
/// were not handed over go to another one.
#[tokio::test]
async fn calls_go_elsewhere_after_endpoint_died() {
    let mut system = CallSystem::start(1, 3).await;
    system.endpoints[0].kill();
    system.endpoints[1].kill();
    for index in 0..4 {
        let stock = system
            .call(0, "GET /services/stock/stock/hawser", None, "")
            .await;
        assert_eq!(stock.status, 200, "{stock:?}");
        let booked = system.book(0, &format!("k{index}")).await;
        assert_eq!(booked.status, 201, "{booked:?}");
    }
    assert_eq!(
        (
            system.booking.total_runs(),
            system.booking.max_runs_per_key()
        ),
        (4, 1)
    );
}

/// Guards against rows that pile up after their retention.
#[tokio::test]
async fn rows_are_deleted_after_retention() {
    let system = CallSystem::start(1, 1).await;
    assert_eq!(system.book(0, "k").await.status, 201);
    system
        .wait("row", || !system.table.rows("call/").is_empty())
        .await;
    let old = r#"{"state":"void","token":"t","is_refusal":false,"written_ms":1}"#;
    let write = RowWrite {
        key: "call/a/s/6b/0".to_owned(),
        value: Some(old.to_owned()),
    };
    system.table.commit(&TableCommit {
        checks: Vec::new(),
        writes: vec![write],
    });
    system
        .wait("deletion", || system.table.rows("call/a/").is_empty())
        .await;
    assert_eq!(system.table.rows("call/").len(), 1);
}

/// Returns the order to read a stock.
fn order() -> CallOrder {
    CallOrder {
        request: RequestIdent::parse("r").unwrap(),
        account: AccountName::parse("cordeleria").unwrap(),
        weight: 1,
        priority: 0,
        service: ServiceName::parse("stock").unwrap(),
        method: "GET".to_owned(),
        path: "/stock/hawser".to_owned(),
        content_type: String::new(),
        body: String::new(),
        row: None,
        fingerprint: String::new(),
        deadline_in_ms: 1_000,
    }
}
