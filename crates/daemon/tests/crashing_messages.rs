//! Guards against chats that share only a message and crash each engine that starts to run them.

mod stream_support;

use std::time::Duration;

use http_body_util::BodyExt;
use serde_json::Value;
use serde_json::json;

use self::stream_support::EngineMode;
use self::stream_support::FATAL_TEXT;
use self::stream_support::LATE_FATAL_TEXT;
use self::stream_support::LAYERS;
use self::stream_support::TestCluster;

/// Six endpoints for the first half of the layers and one for the second.
const RANGES: [(u16, u16); 7] = [(0, 6), (0, 6), (0, 6), (0, 6), (0, 6), (0, 6), (6, LAYERS)];

const STEP_TIME: Duration = Duration::from_millis(60);

/// Sends a chat with two instructions and a question of its own; returns the status and the body.
async fn chat(cluster: &TestCluster, instructions: [&str; 2], question: &str) -> (u16, Value) {
    let messages = [
        json!({"role": "system", "content": instructions[0]}),
        json!({"role": "system", "content": instructions[1]}),
        json!({"role": "user", "content": question}),
    ];
    let body = json!({"model": "palm", "messages": messages, "max_tokens": 3, "stream": false});
    let response = cluster.post("/v1/chat/completions", body.to_string()).await;
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.unwrap().to_bytes();
    (status, serde_json::from_slice(&body).unwrap())
}

/// Each chat asks another question, so that counting crashes by request finds none of them, and each brings
/// down two engines.
#[tokio::test]
async fn chats_with_fatal_message_refused() {
    check_fatal_message(FATAL_TEXT).await;
}

/// The engines crash after the first token, which must not count as a sign that the messages are sound.
#[tokio::test]
async fn chats_with_message_fatal_after_first_token_refused() {
    check_fatal_message(LATE_FATAL_TEXT).await;
}

async fn check_fatal_message(fatal_text: &str) {
    let cluster = TestCluster::start(&RANGES, STEP_TIME, Duration::ZERO, u32::MAX).await;
    let (status, body) = chat(&cluster, ["be brief", "name knots"], "which?").await;
    assert_eq!(status, 200, "{body}");
    for index in 0..6 {
        let question = format!("question {index}");
        let (status, body) = chat(&cluster, ["be brief", fatal_text], &question).await;
        assert_ne!(status, 200, "{body}");
    }
    let stages = cluster.stages.iter();
    let crashed = stages.filter(|stage| *stage.engine.mode.borrow() == EngineMode::Crashed);
    assert_eq!(crashed.count(), 2);
    let (status, body) = chat(&cluster, ["be brief", "name knots"], "and which now?").await;
    assert_eq!(status, 200, "the other messages are sound: {body}");
    let (status, body) = chat(&cluster, ["be brief", fatal_text], "once more").await;
    assert_eq!(status, 422, "{body}");
    assert_eq!(body["error"]["outcome"], "not-run", "{body}");
}
