//! Faults of stages, engines and links while nodes in one process run a request.
//!
//! The layer ranges of the endpoints overlap, so that each stage can be replaced. A test of a
//! single fault guards against an answer that breaks off, repeats a token or changes one, and
//! against sessions that remain in the engines after the request has ended.

mod stream_support;

use std::time::Duration;

use self::stream_support::EventReader;
use self::stream_support::TestCluster;
use self::stream_support::expected_tokens;
use self::stream_support::wait_until;

const RANGES: [(u16, u16); 6] = [(0, 5), (0, 6), (3, 9), (4, 9), (7, 12), (8, 12)];
const STEP_TIME: Duration = Duration::from_millis(3);
const TOKENS: u32 = 40;
/// The number of tokens before the fault.
const TOKENS_BEFORE: usize = 5;
/// The model does not end an answer before the requested number of tokens.
const NO_END: u32 = u32::MAX;

/// Applies a fault to the endpoint of one of the three stages during an answer.
///
/// Checks that the answer is whole and correct, and that no session remains in any engine.
async fn check_fault(prompt: &str, stage: usize, fault: impl Fn(&TestCluster, usize)) {
    let cluster = TestCluster::start(&RANGES, STEP_TIME, Duration::ZERO, NO_END).await;
    let response = cluster.complete(prompt, TOKENS, true).await;
    let mut reader = EventReader::new(response);
    let mut tokens = Vec::new();
    for _ in 0..TOKENS_BEFORE {
        tokens.push(reader.next_token().await.expect("a token before the fault"));
    }
    let victim = cluster.route()[stage];
    fault(&cluster, victim);
    while let Some(token) = reader.next_token().await {
        tokens.push(token);
    }
    assert_eq!(tokens, expected_tokens(prompt, TOKENS));
    assert_eq!(reader.next().await.as_deref(), Some("data: [DONE]"));
    let survivors = (0..cluster.stages.len()).filter(|index| *index != victim);
    for index in survivors {
        wait_until(|| cluster.stages[index].engine.session_count() == 0).await;
    }
    // A frozen stage that resumes learns that it was replaced, and cancels its session.
    cluster.stages[victim].unfreeze();
    if !cluster.stages[victim].is_killed() {
        wait_until(|| cluster.stages[victim].engine.session_count() == 0).await;
    }
}

#[tokio::test]
async fn recover_middle_killed() {
    check_fault("middle", 1, |cluster, victim| cluster.stages[victim].kill()).await;
}

#[tokio::test]
async fn recover_last_killed() {
    check_fault("last", 2, |cluster, victim| cluster.stages[victim].kill()).await;
}

#[tokio::test]
async fn recover_head_killed() {
    check_fault("head", 0, |cluster, victim| cluster.stages[victim].kill()).await;
}

#[tokio::test]
async fn recover_middle_frozen() {
    check_fault("frozen", 1, |cluster, victim| {
        cluster.stages[victim].freeze()
    })
    .await;
}

#[tokio::test]
async fn recover_head_frozen() {
    check_fault("frozen head", 0, |cluster, victim| {
        cluster.stages[victim].freeze();
    })
    .await;
}

/// Guards also against the loss of a stage that is reachable over new connections: only the
/// connections that are open at the fault go silent.
#[tokio::test]
async fn recover_silent_connections() {
    for stage in 0..3 {
        check_fault("silent", stage, |cluster, victim| {
            cluster.stages[victim].link.silence_connections();
        })
        .await;
    }
}

#[tokio::test]
async fn recover_engine_crash() {
    check_fault("crash", 1, |cluster, victim| {
        cluster.stages[victim].crash_engine();
    })
    .await;
}

/// Guards against a request that crashes one engine after the other while the table service is
/// down.
///
/// The crash can't be recorded then, so that other entries would not learn of it. The request must
/// neither be retried nor be started again before its crash is recorded.
#[tokio::test]
async fn crash_without_store_is_not_retried() {
    let cluster = TestCluster::start(&RANGES, STEP_TIME, Duration::ZERO, NO_END).await;
    cluster.table.take_down();
    let response = cluster.complete("suspect", TOKENS, true).await;
    let mut reader = EventReader::new(response);
    assert!(reader.next_token().await.is_some());
    cluster.stages[cluster.route()[1]].crash_engine();
    let mut events = Vec::new();
    while let Some(event) = reader.next().await {
        events.push(event);
    }
    let last = events.last().expect("an event after the crash");
    assert!(last.starts_with("event: error"), "{last}");
    let second = cluster.complete("suspect", TOKENS, true).await;
    assert_eq!(second.headers()["x-dandelionroad-outcome"], "not-run");
    // Other requests of the account still run.
    let other = cluster.complete("other", TOKENS, true).await;
    assert!(EventReader::new(other).next_token().await.is_some());
}

/// Guards against a crash count that remains after the request has completed, so that later runs of
/// it are treated as suspects.
#[tokio::test]
async fn crash_is_cleared_by_completion() {
    let cluster = TestCluster::start(&RANGES, STEP_TIME, Duration::ZERO, NO_END).await;
    let response = cluster.complete("cleared", TOKENS, true).await;
    let mut reader = EventReader::new(response);
    assert!(reader.next_token().await.is_some());
    cluster.stages[cluster.route()[1]].crash_engine();
    wait_until(|| {
        cluster
            .table
            .value_with_prefix("crash/")
            .is_some_and(|value| value.contains("/0"))
    })
    .await;
    while reader.next_token().await.is_some() {}
    wait_until(|| {
        cluster
            .table
            .value_with_prefix("crash/")
            .is_some_and(|value| !value.contains("/0"))
    })
    .await;
}

/// Guards against a request that crashes further endpoints after the loss of all processes, which held its crashes in
/// their memory.
#[tokio::test]
async fn crasher_refused_after_loss_of_all_processes() {
    let cluster = TestCluster::start(&RANGES, STEP_TIME, Duration::ZERO, NO_END).await;
    let response = cluster.complete("fatal", 30_000, true).await;
    let mut reader = EventReader::new(response);
    assert!(reader.next_token().await.is_some());
    for _ in 0..2 {
        let victim = cluster.route()[1];
        cluster.stages[victim].crash_engine();
        wait_until(|| cluster.route().get(1) != Some(&victim)).await;
    }
    while reader.next().await.is_some() {}
    let table = cluster.table.clone();
    drop(cluster);
    let delay = Duration::ZERO;
    let started =
        TestCluster::start_with_table(&RANGES, STEP_TIME, delay, NO_END, table.clone()).await;
    let response = started.complete("fatal", 30_000, true).await;
    assert_ne!(response.status(), 200, "the request runs again");
    assert!(started.route().is_empty());
    let other = started.complete("other", TOKENS, true).await;
    assert!(EventReader::new(other).next_token().await.is_some());
    // An entry that can't read the rows serves requests all the same.
    table.take_down();
    let blind = TestCluster::start_with_table(&RANGES, STEP_TIME, delay, NO_END, table).await;
    let other = blind.complete("other", TOKENS, true).await;
    assert!(EventReader::new(other).next_token().await.is_some());
}

/// Guards against sessions that go on generating after the caller has closed the connection.
#[tokio::test]
async fn cancel_after_caller_disconnects() {
    let cluster = TestCluster::start(&RANGES, STEP_TIME, Duration::ZERO, NO_END).await;
    let response = cluster.complete("gone", 30_000, true).await;
    let mut reader = EventReader::new(response);
    assert!(reader.next_token().await.is_some());
    assert_eq!(cluster.route().len(), 3);
    drop(reader);
    for stage in &cluster.stages {
        wait_until(|| stage.engine.session_count() == 0).await;
    }
}

/// Guards against an answer that breaks off and looks complete: it must end with an error event,
/// without `[DONE]` and without the finish reason `stop`.
#[tokio::test]
async fn break_off_explicit() {
    let cluster = TestCluster::start(&RANGES[1..5], STEP_TIME, Duration::ZERO, NO_END).await;
    let response = cluster.complete("broken", 30_000, true).await;
    let mut reader = EventReader::new(response);
    assert!(reader.next_token().await.is_some());
    // A request on which two engines crash is not retried.
    for _ in 0..2 {
        let victim = cluster.route()[1];
        cluster.stages[victim].crash_engine();
        wait_until(|| cluster.route().get(1) != Some(&victim)).await;
    }
    let mut last = String::new();
    while let Some(event) = reader.next().await {
        assert!(!event.contains("[DONE]") && !event.contains("\"finish_reason\":\"stop\""));
        last = event;
    }
    assert!(last.starts_with("event: error"), "{last}");
    assert!(last.contains("\"outcome\":\"failed\""), "{last}");
}
