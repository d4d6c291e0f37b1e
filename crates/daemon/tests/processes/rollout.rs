//! Rollout of a model version while callers send requests.
//!
//! The test guards against a rollout that cuts off or refuses requests, that mixes two versions in
//! one answer, or that takes the pool below its minimum of ready endpoints.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use dandelionroad_demo::ACCOUNT_SECRET;
use dandelionroad_demo::ADMIN_TOKEN;
use dandelionroad_demo::DemoLayout;
use dandelionroad_demo::LAYERS;
use dandelionroad_demo::MODEL;
use dandelionroad_demo::demo_ticket;
use dandelionroad_standins::engine::TokenModel;
use dandelionroad_standins::load::CallerClient;
use serde_json::Value;
use serde_json::json;
use tokio::task::JoinSet;

use super::process_support::ProcessCluster;
use super::process_support::wait_until;

const CALLERS: usize = 4;
const TOKENS: u32 = 8;
const MIN_READY: usize = 5;

/// Sends one request and returns the model version that generated the whole answer.
async fn complete(client: &CallerClient, entry: &str, label: &str) -> u32 {
    let prompt = format!("splice {label} [length={TOKENS}]");
    let body = json!({"model": MODEL, "prompt": prompt, "max_tokens": TOKENS}).to_string();
    let url = format!("{entry}/v1/completions");
    let (status, text) = client.post(&url, &body).await.expect("an answer");
    assert_eq!(status, 200, "{text}");
    let answer: Value = serde_json::from_str(&text).unwrap();
    let text = answer["choices"][0]["text"].as_str().unwrap();
    let is_of = |version: &u32| {
        TokenModel::new(*version, LAYERS)
            .answer(&prompt, TOKENS)
            .concat()
            == text
    };
    [1, 2]
        .into_iter()
        .find(is_of)
        .expect("an answer of version 1 or 2, not a mixture")
}

/// Returns the ticket that sets the model and its pool to version 2.
fn version_ticket() -> String {
    let mut ticket = demo_ticket(&DemoLayout::three_stages());
    ticket["number"] = json!(2);
    ticket["models"][0]["version"] = json!(2);
    ticket["pools"][0]["version"] = json!(2);
    ticket["pools"][0]["min_ready"] = json!(MIN_READY);
    ticket.to_string()
}

#[tokio::test(flavor = "multi_thread")]
async fn rollout_under_load_refuses_nothing() {
    let cluster = ProcessCluster::start(2_000).await;
    let is_stopped = Arc::new(AtomicBool::new(false));
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        let is_stopped = is_stopped.clone();
        let entry = format!("http://{}", cluster.entries[caller % 2].public);
        callers.spawn(async move {
            let client = CallerClient::new(ACCOUNT_SECRET);
            let mut versions = Vec::new();
            while !is_stopped.load(Ordering::Relaxed) {
                let label = format!("{caller}-{}", versions.len());
                versions.push(complete(&client, &entry, &label).await);
            }
            versions
        });
    }
    let url = format!("http://{}/admin/v1/tickets", cluster.entries[0].admin);
    let applied = CallerClient::new(ADMIN_TOKEN)
        .post(&url, &version_ticket())
        .await;
    assert!(matches!(applied, Ok((200, _))), "{applied:?}");
    let states = || cluster.engines.iter().map(|engine| engine.state());
    wait_until("all engines at version 2", async || {
        let ready = states().filter(|state| state.ready).count();
        assert!(ready >= MIN_READY, "{ready} engines are ready");
        states().all(|state| state.ready && state.version == 2)
    })
    .await;
    let client = CallerClient::new(ACCOUNT_SECRET);
    let entry = format!("http://{}", cluster.entries[1].public);
    wait_until("an answer of version 2", async || {
        complete(&client, &entry, "last").await == 2
    })
    .await;
    is_stopped.store(true, Ordering::Relaxed);
    let versions: Vec<u32> = callers.join_all().await.into_iter().flatten().collect();
    assert!(
        versions.contains(&1),
        "no answer of version 1: the rollout ended before the load started"
    );
}
