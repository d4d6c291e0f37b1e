//! Model requests through whole nodes over loopback.

mod stream_support;

use std::time::Duration;

use http_body_util::BodyExt;
use serde_json::Value;

use self::stream_support::EventReader;
use self::stream_support::TestCluster;
use self::stream_support::expected_tokens;

const THREE_STAGES: [(u16, u16); 3] = [(0, 4), (4, 8), (8, 12)];
const NO_DELAY: Duration = Duration::ZERO;
const NO_END: u32 = u32::MAX;

/// Guards against an answer of a chain that differs from the one of the whole model.
#[tokio::test]
async fn complete_three_stages() {
    let cluster = TestCluster::start(&THREE_STAGES, NO_DELAY, NO_DELAY, NO_END).await;
    let response = cluster.complete("knot", 20, true).await;
    let mut reader = EventReader::new(response);
    let mut tokens = Vec::new();
    while let Some(token) = reader.token().await {
        tokens.push(token);
    }
    assert_eq!(tokens, expected_tokens("knot", 20));
    assert_eq!(reader.next().await.as_deref(), Some("data: [DONE]"));
}

/// Guards against a JSON answer without its end or its count.
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
