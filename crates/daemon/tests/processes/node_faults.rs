//! The guarantees to callers and operators while processes are killed (SIGKILL) and paused
//! (SIGSTOP).

use std::time::Duration;

use dandelionroad_demo::ACCOUNT_SECRET;
use dandelionroad_demo::ADMIN_TOKEN;
use dandelionroad_demo::DemoLayout;
use dandelionroad_demo::MODEL;
use dandelionroad_demo::SERVICE;
use dandelionroad_demo::demo_ticket;
use dandelionroad_standins::load::CallOutcome;
use dandelionroad_standins::load::CallerClient;
use dandelionroad_standins::load::LoadKind;
use dandelionroad_standins::server::ServerMode;
use serde_json::Value;
use serde_json::json;

use super::callers::Callers;
use super::callers::assert_nothing_cut_off;
use super::process_support::ProcessCluster;
use super::process_support::wait_until;

/// The number of bookings of a test.
const BOOKINGS: usize = 24;

/// The maximum time until a change is in force everywhere, in milliseconds.
const IN_FORCE_MS: u64 = 6_000;

/// The time after which a leaving endpoint must not receive new work, in milliseconds.
const LEAVE_LIMIT_MS: u64 = 3_000;

/// Guards against an answer that is cut off or wrong after one stage was killed while another one
/// was paused and resumed, twice in a row.
#[tokio::test(flavor = "multi_thread")]
async fn answers_stay_whole_while_stages_are_killed_and_paused() {
    let mut cluster = ProcessCluster::start(4_000).await;
    let callers = Callers::start(&cluster, "stages");
    for _ in 0..2 {
        callers.wait_for_round().await;
        cluster.endpoints[0].signal("KILL");
        cluster.endpoints[2].signal("STOP");
        callers.wait_for_round().await;
        callers.wait_for_round().await;
        cluster.endpoints[2].signal("CONT");
        let replacement = cluster.spawn_endpoint(0).await;
        cluster.endpoints[0] = replacement;
        cluster.publish_host_list();
        for entry in [0, 1] {
            cluster.wait_until_live(entry, 0).await;
            cluster.wait_until_live(entry, 2).await;
        }
    }
    assert_nothing_cut_off(&callers.finish().await);
}

fn outcome_name(outcome: &CallOutcome) -> &str {
    match outcome {
        CallOutcome::Refused { outcome, .. } => outcome,
        CallOutcome::Answered => "answered",
        CallOutcome::CutOff(_) | CallOutcome::Wrong(_) => "unknown",
    }
}

/// Sends each booking through both entries at the same time and returns the two outcomes of each
/// key.
async fn book_twice(urls: [String; 2]) -> Vec<[String; 2]> {
    let client = CallerClient::new(ACCOUNT_SECRET);
    let mut outcomes = Vec::new();
    for number in 0..BOOKINGS {
        let key = format!("order-{number}");
        let left = client.book(&urls[0], SERVICE, &key);
        let right = client.book(&urls[1], SERVICE, &key);
        let (left, right) = tokio::join!(left, right);
        outcomes.push([left, right].map(|result| outcome_name(&result.outcome).to_owned()));
    }
    outcomes
}

/// Guards against a booking that runs twice, that is answered without a run, or that ran although
/// both answers say `not-run`.
///
/// Each idempotency key is sent to both entries at the same time. Meanwhile one endpoint of the
/// service is paused and resumed, the other one and an entry are killed, and the table service
/// loses answers.
#[tokio::test(flavor = "multi_thread")]
async fn bookings_run_at_most_once_while_endpoints_are_killed_and_paused() {
    let mut cluster = ProcessCluster::start(1_000).await;
    let runners = cluster.endpoints.len() - 2;
    cluster.booking.faults().change(|plan| plan.delay_ms = 20);
    let urls = [0, 1].map(|entry| format!("http://{}", cluster.entries[entry].public));
    let bookings = tokio::spawn(book_twice(urls));
    let table = cluster.table.faults().clone();
    wait_until("first bookings", async || cluster.booking.total_runs() >= 4).await;
    cluster.endpoints[runners].signal("STOP");
    table.change(|plan| plan.cut_after = 4);
    wait_until("bookings beside a paused runner", async || {
        cluster.booking.total_runs() >= 8
    })
    .await;
    cluster.endpoints[runners + 1].signal("KILL");
    cluster.endpoints[runners].signal("CONT");
    let replacement = cluster.spawn_endpoint(runners + 1).await;
    cluster.endpoints[runners + 1] = replacement;
    cluster.publish_host_list();
    wait_until("bookings after both faults", async || {
        cluster.booking.total_runs() >= 10
    })
    .await;
    cluster.entries[0].signal("KILL");
    let outcomes = bookings.await.unwrap();
    for (number, outcome) in outcomes.iter().enumerate() {
        let key = format!("cordeleria:order-{number}");
        let runs = cluster.booking.runs(&key);
        assert!(runs <= 1, "{key} ran {runs} times: {outcome:?}");
        if outcome.iter().any(|name| name == "answered") {
            assert_eq!(runs, 1, "{key} was answered without a run");
        }
        if outcome.iter().all(|name| name == "not-run") {
            assert_eq!(runs, 0, "{key} ran: {outcome:?}");
        }
    }
    let answered = outcomes.iter().flatten().filter(|name| *name == "answered");
    assert!(answered.count() >= BOOKINGS / 2, "{outcomes:?}");
}

/// Returns the revisions of the live processes as an entry reports them, in the order of their
/// names.
async fn read_revisions(cluster: &ProcessCluster, entry: usize) -> Vec<u64> {
    let url = format!("http://{}/admin/v1/members", cluster.entries[entry].admin);
    let answer = CallerClient::new(ADMIN_TOKEN).get(&url).await;
    let body: Value = serde_json::from_str(&answer.unwrap_or_default().1).unwrap_or_default();
    let members = body["members"].as_array().cloned().unwrap_or_default();
    let live = members.iter().filter(|member| member["state"] == "live");
    live.map(|member| member["revision"].as_u64().unwrap_or_default())
        .collect()
}

/// Guards against an accepted change that a process misses during an outage of the table service.
///
/// An endpoint and an entry are paused while the changes are accepted, the table service goes down
/// right afterwards, and an endpoint is replaced during the outage. Gossip alone must bring the
/// last revision to all of them within the time limit.
#[tokio::test(flavor = "multi_thread")]
async fn change_is_in_force_everywhere_during_outage() {
    let mut cluster = ProcessCluster::start(1_000).await;
    let mut ticket = demo_ticket(&DemoLayout::three_stages());
    cluster.entries[1].signal("STOP");
    cluster.endpoints[1].signal("STOP");
    let url = format!("http://{}/admin/v1/tickets", cluster.entries[0].admin);
    let client = CallerClient::new(ADMIN_TOKEN);
    for number in 2..=5 {
        ticket["number"] = json!(number);
        let applied = client.post(&url, &ticket.to_string()).await;
        assert!(matches!(applied, Ok((200, _))), "{applied:?}");
    }
    cluster.table.faults().set_mode(ServerMode::Down);
    cluster.endpoints[0].signal("KILL");
    let replacement = cluster.spawn_endpoint(0).await;
    cluster.endpoints[0] = replacement;
    cluster.publish_host_list();
    cluster.entries[1].signal("CONT");
    cluster.endpoints[1].signal("CONT");
    let count = cluster.entries.len() + cluster.endpoints.len();
    let in_force = wait_until("revision 5 everywhere", async || {
        let seen = read_revisions(&cluster, 0).await;
        seen.len() == count && seen.iter().all(|revision| *revision == 5)
    });
    let limit = Duration::from_millis(IN_FORCE_MS);
    let reached = tokio::time::timeout(limit, in_force).await;
    let seen = read_revisions(&cluster, 0).await;
    assert!(reached.is_ok(), "not in force within {limit:?}: {seen:?}");
    for _ in 0..10 {
        let seen = read_revisions(&cluster, 1).await;
        assert!(seen.iter().all(|revision| *revision == 5), "{seen:?}");
    }
}

/// Guards against entries that send new work to a leaving endpoint, and against an endpoint that
/// leaves in the middle of an answer.
///
/// The host list does not mark the endpoint as leaving, so that the entries learn of it from the
/// endpoint.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_endpoint_gets_no_new_work() {
    let mut cluster = ProcessCluster::start(10_000).await;
    // The other endpoint of the same layers is paused, so that the long answer runs on endpoint 0.
    cluster.endpoints[1].signal("STOP");
    let url = format!("http://{}", cluster.entries[0].public);
    let long = tokio::spawn(async move {
        let client = CallerClient::new(ACCOUNT_SECRET);
        let call = (MODEL, "splice [length=200]", 200);
        client.stream(&url, LoadKind::Completion, call, "").await
    });
    wait_until("a running answer", async || {
        cluster.engines[0].stats().steps > 5
    })
    .await;
    cluster.endpoints[1].signal("CONT");
    for entry in [0, 1] {
        cluster.wait_until_live(entry, 1).await;
    }
    let callers = Callers::start(&cluster, "leaving");
    callers.wait_for_round().await;
    cluster.endpoints[0].signal("TERM");
    tokio::time::sleep(Duration::from_millis(LEAVE_LIMIT_MS)).await;
    let before = cluster.engines[0].stats();
    assert!(
        !long.is_finished(),
        "the long answer ended before the leaving endpoint was checked"
    );
    callers.wait_for_round().await;
    let after = cluster.engines[0].stats();
    assert_eq!(
        before.prompt_tokens, after.prompt_tokens,
        "new work {LEAVE_LIMIT_MS} ms after the start of the shutdown"
    );
    assert_nothing_cut_off(&callers.finish().await);
    assert_eq!(long.await.unwrap().outcome, CallOutcome::Answered);
    assert!(cluster.endpoints[0].wait_for_exit().await.success());
}
