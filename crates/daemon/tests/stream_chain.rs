//! Model requests through an entry and a chain of endpoints in one process, over loopback.

mod stream_support;

use std::time::Duration;

use http_body_util::BodyExt;
use serde_json::Value;

use self::stream_support::EventReader;
use self::stream_support::TestCluster;
use self::stream_support::expected_tokens;

const THREE_STAGES: [(u16, u16); 3] = [(0, 4), (4, 8), (8, 12)];
const NO_DELAY: Duration = Duration::ZERO;
/// The model does not end an answer before the requested number of tokens.
const NO_END: u32 = u32::MAX;

/// Guards against an answer of a chain that differs from the answer of the whole model, because a
/// step runs in a wrong order, twice or not at all.
#[tokio::test]
async fn complete_three_stages() {
    let cluster = TestCluster::start(&THREE_STAGES, NO_DELAY, NO_DELAY, NO_END).await;
    let response = cluster.complete("knot", 20, true).await;
    let mut reader = EventReader::new(response);
    let mut tokens = Vec::new();
    while let Some(token) = reader.next_token().await {
        tokens.push(token);
    }
    assert_eq!(tokens, expected_tokens("knot", 20));
    assert_eq!(reader.next().await.as_deref(), Some("data: [DONE]"));
}

/// Guards against a JSON answer that misses its last tokens, the finish reason or the token count,
/// when the model ends the answer before the maximum length.
#[tokio::test]
async fn complete_json_ends_early() {
    let cluster = TestCluster::start(&THREE_STAGES, NO_DELAY, NO_DELAY, 7).await;
    let response = cluster.complete("knot", 20, false).await;
    assert_eq!(response.status(), 200);
    let body = response.into_body().collect().await.unwrap().to_bytes();
    let body: Value = serde_json::from_slice(&body).unwrap();
    let choice = &body["choices"][0];
    assert_eq!(choice["text"], expected_tokens("knot", 7).concat());
    assert_eq!(choice["finish_reason"], "stop");
    assert_eq!(body["usage"]["completion_tokens"], 7);
}

/// Guards against a replacement that starts again from the prompt or repeats tokens, after the only
/// endpoint of a whole-model route was killed during the answer.
#[tokio::test]
async fn complete_whole_model_resumes() {
    let step_time = Duration::from_millis(3);
    let ranges = [(0, 12), (0, 12)];
    let cluster = TestCluster::start(&ranges, step_time, NO_DELAY, 30).await;
    let mut reader = EventReader::new(cluster.complete("whole", 40, true).await);
    let mut tokens = vec![reader.next_token().await.unwrap()];
    let victim = cluster.route()[0];
    cluster.stages[victim].kill();
    while let Some(token) = reader.next_token().await {
        tokens.push(token);
    }
    assert_eq!(tokens, expected_tokens("whole", 30));
    assert_eq!(reader.next().await.as_deref(), Some("data: [DONE]"));
}

/// Guards against chat messages that are joined wrongly, and against refusals without the outcome
/// and `retry-after` headers, on which client libraries of callers rely.
#[tokio::test]
async fn chat_joins_messages_and_refusals_carry_headers() {
    let cluster = TestCluster::start(&THREE_STAGES, NO_DELAY, NO_DELAY, NO_END).await;
    let messages = r#"[{"role":"user","content":[{"type":"text","text":"knot"}]}]"#;
    let body = format!(r#"{{"model":"palm","max_tokens":3,"messages":{messages}}}"#);
    let response = cluster.post("/v1/chat/completions", body).await;
    let body = response.into_body().collect().await.unwrap().to_bytes();
    let body: Value = serde_json::from_slice(&body).unwrap();
    let expected = expected_tokens("user: knot\nassistant:", 3).concat();
    assert_eq!(body["choices"][0]["message"]["content"], expected);
    assert_eq!(body["choices"][0]["finish_reason"], "length");
    let completions = "/v1/completions";
    for (path, body, status) in [
        (completions, r#"{"model":"palm"}"#, 400),
        (completions, r#"{"model":"other","prompt":"knot"}"#, 404),
        ("/v1/models", "", 405),
        ("/v1/nothing", "", 404),
    ] {
        let response = cluster.post(path, body.to_owned()).await;
        assert_eq!(response.status(), status);
        assert_eq!(response.headers()["x-dandelionroad-outcome"], "not-run");
        assert!(response.headers().contains_key("x-request-id"));
        // An invalid request must not be retried unchanged.
        assert!(!response.headers().contains_key("retry-after"));
    }
    for stage in &cluster.stages {
        stage.kill();
    }
    let response = cluster.complete("knot", 3, true).await;
    assert_eq!(response.status(), 503);
    assert!(response.headers().contains_key("retry-after"));
}
