//! Faults of stages and links while whole nodes run a request over overlapping ranges.
//!
//! Each test guards against an answer that breaks off, repeats or changes a token after a fault,
//! and against sessions that stay in the engines when the request has ended.

mod stream_support;

use std::time::Duration;

use self::stream_support::EventReader;
use self::stream_support::TestCluster;
use self::stream_support::expected_tokens;
use self::stream_support::wait_until;

const RANGES: [(u16, u16); 6] = [(0, 5), (0, 6), (3, 9), (4, 9), (7, 12), (8, 12)];
const STEP_TIME: Duration = Duration::from_millis(3);
const TOKENS: u32 = 40;
const TOKENS_BEFORE: usize = 5;
const NO_END: u32 = u32::MAX;

/// Starts a request, applies the fault to the endpoint that runs the given stage of three, and
/// checks the whole answer.
async fn check_fault(prompt: &str, stage: usize, fault: impl Fn(&TestCluster, usize)) {
    let cluster = TestCluster::start(&RANGES, STEP_TIME, Duration::ZERO, NO_END).await;
    let response = cluster.complete(prompt, TOKENS, true).await;
    let mut reader = EventReader::new(response);
    let mut tokens = Vec::new();
    for _ in 0..TOKENS_BEFORE {
        tokens.push(reader.token().await.expect("the answer has begun"));
    }
    let victim = cluster.route()[stage];
    fault(&cluster, victim);
    while let Some(token) = reader.token().await {
        tokens.push(token);
    }
    assert_eq!(tokens, expected_tokens(prompt, TOKENS));
    assert_eq!(reader.next().await.as_deref(), Some("data: [DONE]"));
    let survivors = (0..cluster.stages.len()).filter(|index| *index != victim);
    for index in survivors {
        wait_until(|| cluster.stages[index].engine.session_count() == 0).await;
    }
    // A frozen stage that wakes finds that it was replaced.
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

/// Guards also against the loss of the stage, whose new connections work.
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

/// Guards against a suspect that is retried while its crash can't be recorded, and against one that
/// is run again before it is recorded.
#[tokio::test]
async fn crash_without_store_is_not_retried() {
    let cluster = TestCluster::start(&RANGES, STEP_TIME, Duration::ZERO, NO_END).await;
    cluster.table.take_down();
    let response = cluster.complete("suspect", TOKENS, true).await;
    let mut reader = EventReader::new(response);
    assert!(reader.token().await.is_some());
    cluster.stages[cluster.route()[1]].crash_engine();
    let mut events = Vec::new();
    while let Some(event) = reader.next().await {
        events.push(event);
    }
    let last = events.last().expect("the answer ends");
    assert!(last.starts_with("event: error"), "{last}");
    let second = cluster.complete("suspect", TOKENS, true).await;
    assert_eq!(second.headers()["x-dandelionroad-outcome"], "not-run");
    // Other requests of the account go on.
    let other = cluster.complete("other", TOKENS, true).await;
    assert!(EventReader::new(other).token().await.is_some());
}

/// Guards against crash counts that outlive the completion of the request.
#[tokio::test]
async fn crash_is_cleared_by_completion() {
    let cluster = TestCluster::start(&RANGES, STEP_TIME, Duration::ZERO, NO_END).await;
    let response = cluster.complete("cleared", TOKENS, true).await;
    let mut reader = EventReader::new(response);
    assert!(reader.token().await.is_some());
    cluster.stages[cluster.route()[1]].crash_engine();
    wait_until(|| {
        cluster
            .table
            .value("crash/")
            .is_some_and(|value| value.contains("/0"))
    })
    .await;
    while reader.token().await.is_some() {}
    wait_until(|| {
        cluster
            .table
            .value("crash/")
            .is_some_and(|value| !value.contains("/0"))
    })
    .await;
}

/// Guards against sessions that run on for a caller that has gone away.
#[tokio::test]
async fn cancel_caller_gone() {
    let cluster = TestCluster::start(&RANGES, STEP_TIME, Duration::ZERO, NO_END).await;
    let response = cluster.complete("gone", 30_000, true).await;
    let mut reader = EventReader::new(response);
    assert!(reader.token().await.is_some());
    assert_eq!(cluster.route().len(), 3);
    drop(reader);
    for stage in &cluster.stages {
        wait_until(|| stage.engine.session_count() == 0).await;
    }
}

/// Guards against a broken answer that looks whole: no end, no `[DONE]`, an explicit error.
#[tokio::test]
async fn break_off_explicit() {
    let cluster = TestCluster::start(&RANGES[1..5], STEP_TIME, Duration::ZERO, NO_END).await;
    let response = cluster.complete("broken", 30_000, true).await;
    let mut reader = EventReader::new(response);
    assert!(reader.token().await.is_some());
    // Two engines that crash on the same request make it a crasher.
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
