//! Graceful shutdown of entries and endpoints while requests run.
//!
//! The tests guard against a planned shutdown that cuts off or repeats a request, and against an
//! entry that stops while the balancer still sends requests to it.

use dandelionroad_demo::ACCOUNT_SECRET;
use dandelionroad_standins::load::CallerClient;
use dandelionroad_standins::load::LoadKind;
use dandelionroad_standins::load::LoadReport;

use super::callers::Callers;
use super::callers::TOKENS;
use super::callers::assert_nothing_cut_off;
use super::process_support::ProcessCluster;
use super::process_support::wait_until;

/// The step deadline, in milliseconds; longer than a busy machine delays a step.
///
/// No stage is replaced as silent, so that a planned shutdown can't pass by means of failure
/// detection.
const STEP_DEADLINE_MS: u64 = 10_000;

/// The number of stages of every route.
const STAGES: u64 = 3;

/// Asserts that the engines ran each step once and the service ran each booking once.
///
/// A stage that is cut off is replaced, and its replacement computes the layers again from the
/// start.
fn assert_nothing_run_twice(cluster: &ProcessCluster, reports: &[LoadReport]) {
    let results = || reports.iter().flat_map(|report| &report.results);
    let bookings = results()
        .filter(|result| result.kind == LoadKind::Booking)
        .count();
    let answers = results().count() - bookings;
    let steps: u64 = cluster
        .engines
        .iter()
        .map(|engine| engine.stats().steps)
        .sum();
    assert_eq!(
        steps,
        answers as u64 * u64::from(TOKENS) * STAGES,
        "{answers} answers"
    );
    assert_eq!(cluster.booking.total_runs(), bookings);
    assert!(cluster.booking.max_runs_per_key() <= 1);
}

/// Guards against an entry or endpoint that exits before the requests on both have ended, whichever
/// of the two gets the signal first.
#[tokio::test(flavor = "multi_thread")]
async fn shutdown_entry_and_endpoint_in_both_orders_cuts_off_nothing() {
    // An answer takes longer than the minimum time between the start of a shutdown and the exit.
    let mut cluster = ProcessCluster::start_with_deadline(25_000, STEP_DEADLINE_MS).await;
    let mut reports = Vec::new();
    for (label, is_entry_first) in [("entry-first", true), ("endpoint-first", false)] {
        let callers = Callers::start(&cluster, label);
        callers.wait_for_round().await;
        let mut entry = cluster.entries.remove(0);
        let mut stage = cluster.endpoints.remove(0);
        match is_entry_first {
            true => [&entry, &stage].map(|node| node.signal("TERM")),
            false => [&stage, &entry].map(|node| node.signal("TERM")),
        };
        let url = format!("http://{}/readyz", entry.public);
        wait_until("failed readiness", async || {
            let answer = CallerClient::new(ACCOUNT_SECRET).get(&url).await;
            matches!(answer, Ok((503, _)))
        })
        .await;
        callers.remove(&entry.public);
        assert!(entry.wait_for_exit().await.success());
        assert!(stage.wait_for_exit().await.success());
        callers.wait_for_round().await;
        let entry = cluster.spawn_entry(0).await;
        cluster.entries.insert(0, entry);
        let stage = cluster.spawn_endpoint(0).await;
        cluster.endpoints.insert(0, stage);
        cluster.publish_host_list();
        cluster.wait_until_ready(0).await;
        for entry in [0, 1] {
            cluster.wait_until_live(entry, 0).await;
        }
        let report = callers.finish().await;
        assert_nothing_cut_off(&report);
        reports.push(report);
    }
    assert_nothing_run_twice(&cluster, &reports);
}

/// Guards against a rolling replacement of all processes that cuts off a request, because a process
/// exits before its requests have ended or a new one gets requests before it knows its peers.
#[tokio::test(flavor = "multi_thread")]
async fn shutdown_rolling_replacement_of_every_node_cuts_off_nothing() {
    let mut cluster = ProcessCluster::start_with_deadline(2_000, STEP_DEADLINE_MS).await;
    let callers = Callers::start(&cluster, "rolling");
    callers.wait_for_round().await;
    for index in 0..cluster.endpoints.len() {
        let mut old = cluster.endpoints.remove(index);
        old.signal("TERM");
        assert!(old.wait_for_exit().await.success());
        let new = cluster.spawn_endpoint(index).await;
        cluster.endpoints.insert(index, new);
        cluster.publish_host_list();
        for entry in [0, 1] {
            cluster.wait_until_live(entry, index).await;
        }
        callers.wait_for_round().await;
    }
    for index in 0..cluster.entries.len() {
        let mut old = cluster.entries.remove(index);
        old.signal("TERM");
        callers.remove(&old.public);
        assert!(old.wait_for_exit().await.success());
        let new = cluster.spawn_entry(index).await;
        cluster.entries.insert(index, new);
        cluster.publish_host_list();
        cluster.wait_until_ready(index).await;
        for endpoint in 0..cluster.endpoints.len() {
            cluster.wait_until_live(index, endpoint).await;
        }
        callers.add(&cluster.entries[index].public);
        callers.wait_for_round().await;
    }
    let report = callers.finish().await;
    assert_nothing_cut_off(&report);
    assert_nothing_run_twice(&cluster, &[report]);
}
