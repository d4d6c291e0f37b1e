//! The load generator and its percentiles.

use std::time::Duration;

use axum::Router;
use axum::routing::post;
use dandelionroad_standins::engine::TokenModel;
use dandelionroad_standins::load::CallOutcome;
use dandelionroad_standins::load::LoadKind;
use dandelionroad_standins::load::LoadPlan;
use dandelionroad_standins::load::TimeSample;
use dandelionroad_standins::load::run_load;
use dandelionroad_standins::load::run_load_until;
use tokio::net::TcpListener;

/// Guards against a load report that counts a truncated, failed or wrong answer as answered.
#[tokio::test]
async fn run_load_distinguishes_answered_truncated_and_wrong() {
    let answer = TokenModel::new(1, 4).answer("t-0  [length=2]", 2);
    let chunk = |text: &str| format!("data: {{\"choices\":[{{\"text\":\"{text}\"}}]}}\n\n");
    let whole = format!("{}{}data: [DONE]\n\n", chunk(&answer[0]), chunk(&answer[1]));
    let wrong = format!("{}data: [DONE]\n\n", chunk(&answer[0]));
    let broken = chunk(&answer[0]);
    let error = concat!(
        "event: error\ndata: {\"error\":",
        "{\"outcome\":\"unknown\",\"reason\":\"endpoint-lost\"}}\n\n"
    );
    for (body, expected) in [
        (whole, "answered"),
        (wrong, "wrong answer"),
        (broken, "cut off"),
        (error.to_owned(), "unknown: endpoint-lost"),
    ] {
        let router = Router::new().route("/v1/completions", post(async move || body));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(async move { axum::serve(listener, router).await });
        let report = run_load(LoadPlan {
            entries: vec![format!("http://{address}")],
            secret: "secret".to_owned(),
            kinds: vec![LoadKind::Completion],
            requests: 1,
            concurrency: 4,
            model: "knots".to_owned(),
            layers: 4,
            version: 1,
            service: String::new(),
            prompt_words: 0,
            tokens: 2,
            label: "t".to_owned(),
        })
        .await;
        let outcome = report.results[0].outcome.to_string();
        assert!(
            outcome.starts_with(expected),
            "got {outcome}, expected {expected}"
        );
        let is_answered = report.results[0].outcome == CallOutcome::Answered;
        assert_eq!(report.failures().is_empty(), is_answered);
    }
}

/// Guards against an interrupted load test that does not report the requests that have ended.
#[tokio::test]
async fn run_load_until_stopped_reports_ended_requests() {
    let router = Router::new().route(
        "/v1/completions",
        post(async || {
            tokio::time::sleep(Duration::from_millis(20)).await;
            "data: [DONE]\n\n"
        }),
    );
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move { axum::serve(listener, router).await });
    let plan = LoadPlan {
        entries: vec![format!("http://{address}")],
        secret: "secret".to_owned(),
        kinds: vec![LoadKind::Completion],
        requests: 10_000,
        concurrency: 2,
        model: "knots".to_owned(),
        layers: 0,
        version: 1,
        service: String::new(),
        prompt_words: 0,
        tokens: 0,
        label: "t".to_owned(),
    };
    let stop = tokio::time::sleep(Duration::from_millis(400));
    let report = run_load_until(plan, stop).await;
    assert!(!report.results.is_empty());
    assert!(report.results.len() < 10_000);
}

/// Guards against percentiles that are off by one rank or that fail for an empty sample.
#[test]
fn percentile_returns_nearest_rank() {
    let sample = TimeSample::new((1..=100).rev().map(f64::from).collect());
    assert_eq!(sample.percentile(50), 50.0);
    assert_eq!(sample.percentile(99), 99.0);
    assert_eq!(sample.percentile(100), 100.0);
    assert_eq!(TimeSample::default().percentile(50), 0.0);
}
