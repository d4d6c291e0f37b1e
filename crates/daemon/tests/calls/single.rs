//! The outcome that the caller gets after a single fault.

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

use super::support::CallCluster;

/// Guards against a repeated call that runs again, a different request that gets the answer
/// recorded for its key, and a call without a key that is accepted.
#[tokio::test]
async fn booking_repeat_is_replayed() {
    let cluster = CallCluster::start(2, 2).await;
    let first = cluster.book(0, "k").await;
    assert_eq!((first.status, first.is_replayed), (201, false), "{first:?}");
    let second = cluster.book(1, "k").await;
    assert_eq!(
        (second.status, second.is_replayed),
        (201, true),
        "{second:?}"
    );
    assert_eq!(second.body, first.body);
    let other = cluster
        .call(1, "POST /services/booking/book", Some("k"), "{}")
        .await;
    assert_eq!(
        (other.status, other.outcome.as_str()),
        (422, "not-run"),
        "{other:?}"
    );
    let keyless = cluster
        .call(0, "POST /services/booking/book", None, "{}")
        .await;
    assert_eq!(
        (keyless.status, keyless.outcome.as_str()),
        (400, "not-run"),
        "{keyless:?}"
    );
    let foreign = cluster
        .call(0, "POST /services/payments/charge", Some("k"), "{}")
        .await;
    assert_eq!(
        (foreign.status, foreign.reason.as_str()),
        (404, "not-found"),
        "{foreign:?}"
    );
    let stock = cluster
        .call(0, "GET /services/booking/stock/hawser", None, "")
        .await;
    assert_eq!(
        (stock.status, &stock.body["stock"]),
        (200, &999_998.into()),
        "{stock:?}"
    );
    assert_eq!(cluster.booking.total_runs(), 1);
}

/// Guards against a second run when the call is repeated at another entry while it is still
/// running, and against a repetition that does not wait for the answer.
#[tokio::test]
async fn booking_repeat_waits_for_running_call() {
    let cluster = CallCluster::start(2, 2).await;
    cluster
        .booking
        .faults()
        .change(|plan| plan.answer_delay_ms = 300);
    let second = async {
        cluster
            .wait_for("run", || cluster.run_count("k") == 1)
            .await;
        cluster.book(1, "k").await
    };
    let (first, second) = tokio::join!(cluster.book(0, "k"), second);
    assert_eq!((first.status, first.is_replayed), (201, false), "{first:?}");
    assert_eq!(
        (second.status, second.is_replayed),
        (201, true),
        "{second:?}"
    );
    assert_eq!(cluster.run_count("k"), 1);
}

/// Guards against a second run after the connection to the service was cut, and against the outcome
/// `unknown` although the service can report the outcome.
#[tokio::test]
async fn booking_cut_connection_queries_service() {
    let cluster = CallCluster::start(1, 2).await;
    cluster.booking.faults().change(|plan| plan.cut_after = 1);
    let found = cluster.book(0, "ran").await;
    assert_eq!((found.status, found.is_replayed), (200, true), "{found:?}");
    assert_eq!(found.body["key"], "cordeleria:ran");
    cluster.booking.faults().change(|plan| plan.cut_before = 1);
    for _ in 0..2 {
        let lost = cluster.book(0, "lost").await;
        assert_eq!(
            (lost.status, lost.outcome.as_str()),
            (502, "unknown"),
            "{lost:?}"
        );
    }
    assert_eq!(
        (cluster.run_count("ran"), cluster.run_count("lost")),
        (1, 0)
    );
}

/// Guards against the outcome `unknown` for a call that can't have reached the service, because the
/// connection was refused, and against a refusal when that call is repeated.
#[tokio::test]
async fn booking_refused_connection_is_not_run() {
    let cluster = CallCluster::start(1, 2).await;
    cluster.booking.faults().set_mode(ServerMode::Down);
    let refused = cluster.book(0, "k").await;
    assert_eq!(
        (refused.status, refused.outcome.as_str()),
        (503, "not-run"),
        "{refused:?}"
    );
    assert!(refused.has_retry_after, "{refused:?}");
    cluster.booking.faults().set_mode(ServerMode::Up);
    let booked = cluster.book(0, "k").await;
    assert_eq!(
        (booked.status, booked.is_replayed),
        (201, false),
        "{booked:?}"
    );
    assert_eq!(cluster.run_count("k"), 1);
}

/// Guards against a call that runs without a recorded row while the table service is down, and
/// against idempotent calls that fail with the table service, which they don't need.
#[tokio::test]
async fn booking_store_down_is_not_run() {
    let cluster = CallCluster::start(1, 2).await;
    cluster.table.faults().set_mode(ServerMode::Down);
    let refused = cluster.book(0, "k").await;
    let expected = (503, "not-run", "store-down");
    let actual = (
        refused.status,
        refused.outcome.as_str(),
        refused.reason.as_str(),
    );
    assert_eq!(actual, expected, "{refused:?}");
    assert!(refused.has_retry_after, "{refused:?}");
    let stock = cluster
        .call(0, "GET /services/stock/stock/hawser", None, "")
        .await;
    assert_eq!(stock.status, 200, "{stock:?}");
    cluster.table.faults().set_mode(ServerMode::Up);
    let booked = cluster.book(0, "k").await;
    assert_eq!(
        (booked.status, cluster.run_count("k")),
        (201, 1),
        "{booked:?}"
    );
}

/// Guards against a second run when the table service commits a row but its response is lost.
#[tokio::test]
async fn booking_lost_store_answer_runs_once() {
    let cluster = CallCluster::start(1, 2).await;
    for lost in 1..4 {
        cluster.table.faults().change(|plan| plan.cut_after = lost);
        let key = format!("k{lost}");
        let booked = cluster.book(0, &key).await;
        assert_eq!(
            (booked.status, cluster.run_count(&key)),
            (201, 1),
            "{booked:?}"
        );
        let is_recorded = || {
            let rows = cluster.table.rows("call/");
            rows.iter()
                .filter(|row| row.value.contains("\"done\""))
                .count()
                == lost as usize
        };
        cluster.wait_for("recorded outcome", is_recorded).await;
    }
}

/// Guards against a second run after the endpoint process that runs a call was killed, and against
/// an outcome that is lost although the service can report it.
#[tokio::test]
async fn booking_killed_endpoint_runs_once() {
    let mut cluster = CallCluster::start(2, 1).await;
    cluster
        .booking
        .faults()
        .change(|plan| plan.answer_delay_ms = 60_000);
    let mut endpoint = cluster.endpoints.remove(0);
    let kill = async {
        cluster
            .wait_for("run", || cluster.run_count("k") == 1)
            .await;
        cluster
            .booking
            .faults()
            .change(|plan| plan.answer_delay_ms = 0);
        endpoint.kill();
        cluster.start_endpoint(0).await
    };
    let (first, endpoint) = tokio::join!(cluster.book(0, "k"), kill);
    assert!(
        first.status == 200 || first.outcome == "unknown",
        "{first:?}"
    );
    let address = endpoint.handle.internal.to_string();
    let context = cluster.entries[1].handle.context.clone();
    let is_known = || {
        let members = context.members.borrow();
        members
            .get("endpoint-0")
            .is_some_and(|record| record.address == address)
    };
    cluster.wait_for("restarted endpoint", is_known).await;
    let second = cluster.book(1, "k").await;
    assert_eq!(
        (second.status, second.is_replayed),
        (200, true),
        "{second:?}"
    );
    assert_eq!(cluster.run_count("k"), 1);
}

/// Guards against a second run or a lost outcome when the entry is killed while the call runs and
/// the caller repeats it at another entry.
#[tokio::test]
async fn booking_killed_entry_is_replayed_elsewhere() {
    let mut cluster = CallCluster::start(2, 2).await;
    cluster
        .booking
        .faults()
        .change(|plan| plan.answer_delay_ms = 300);
    tokio::select! {
        first = cluster.book(0, "k") => panic!("answered before the entry was killed: {first:?}"),
        () = cluster.wait_for("run", || cluster.run_count("k") == 1) => {}
    }
    cluster.entries[0].kill();
    let second = cluster.book(1, "k").await;
    assert_eq!(
        (second.status, second.is_replayed),
        (201, true),
        "{second:?}"
    );
    assert_eq!(cluster.run_count("k"), 1);
}

/// Guards against a leaving endpoint that accepts a call or runs a booking.
#[tokio::test]
async fn booking_leaving_endpoint_gets_no_work() {
    let cluster = CallCluster::start(1, 2).await;
    let leaving = &cluster.endpoints[0].handle.context;
    leaving
        .local_record
        .send_modify(|own| own.state = MemberState::Leaving);
    let peers = &cluster.entries[0].handle.context.peers;
    let address = leaving.local_record.borrow().address.clone();
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
        let booked = cluster.book(0, &format!("k{index}")).await;
        assert_eq!(booked.status, 201, "{booked:?}");
    }
    let rows = cluster.table.rows("call/");
    let at_leaving = rows
        .iter()
        .filter(|row| row.value.contains("endpoint-0"))
        .count();
    assert_eq!((rows.len(), at_leaving), (6, 0));
}

/// Guards against errors that callers get because endpoints were killed: idempotent calls, and
/// bookings that were not forwarded yet, must go to another endpoint.
#[tokio::test]
async fn calls_go_elsewhere_after_endpoint_is_killed() {
    let mut cluster = CallCluster::start(1, 3).await;
    cluster.endpoints[0].kill();
    cluster.endpoints[1].kill();
    for index in 0..4 {
        let stock = cluster
            .call(0, "GET /services/stock/stock/hawser", None, "")
            .await;
        assert_eq!(stock.status, 200, "{stock:?}");
        let booked = cluster.book(0, &format!("k{index}")).await;
        assert_eq!(booked.status, 201, "{booked:?}");
    }
    assert_eq!(
        (
            cluster.booking.total_runs(),
            cluster.booking.max_runs_per_key()
        ),
        (4, 1)
    );
}

/// Guards against call rows that are not deleted after their retention time and accumulate.
#[tokio::test]
async fn rows_are_deleted_after_retention() {
    let cluster = CallCluster::start(1, 1).await;
    assert_eq!(cluster.book(0, "k").await.status, 201);
    cluster
        .wait_for("row", || !cluster.table.rows("call/").is_empty())
        .await;
    let old = r#"{"state":"void","token":"t","is_refusal":false,"written_ms":1}"#;
    let write = RowWrite {
        key: "call/a/s/6b/0".to_owned(),
        value: Some(old.to_owned()),
    };
    cluster.table.commit(&TableCommit {
        checks: Vec::new(),
        writes: vec![write],
    });
    cluster
        .wait_for("deletion", || cluster.table.rows("call/a/").is_empty())
        .await;
    assert_eq!(cluster.table.rows("call/").len(), 1);
}

/// Returns an order for an idempotent call.
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
