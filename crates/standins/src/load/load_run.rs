use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::Mutex;
use tokio::task::JoinSet;

use crate::engine::TokenModel;

use super::CallResult;
use super::CallerClient;
use super::LoadKind;
use super::LoadPlan;
use super::LoadReport;

/// The interval between progress messages, in milliseconds.
const PROGRESS_MS: u64 = 5_000;

/// Runs a load test: `concurrency` callers each send one request after the other until all requests
/// have ended.
pub async fn run_load(plan: LoadPlan) -> LoadReport {
    run_load_until(plan, std::future::pending()).await
}

/// Runs a load test until all requests have ended or `stop` completes, and prints its progress on
/// standard error.
///
/// Requests that are running when `stop` completes are cancelled and not reported.
pub async fn run_load_until(plan: LoadPlan, stop: impl Future<Output = ()>) -> LoadReport {
    let plan = Arc::new(plan);
    let client = CallerClient::new(&plan.secret);
    let next = Arc::new(AtomicUsize::new(0));
    let results: Arc<Mutex<Vec<CallResult>>> = Arc::default();
    let mut callers = JoinSet::new();
    for _ in 0..plan.concurrency.clamp(1, plan.requests.max(1)) {
        let (plan, client, next) = (plan.clone(), client.clone(), next.clone());
        let results = Arc::clone(&results);
        callers.spawn(async move {
            loop {
                let index = next.fetch_add(1, Ordering::Relaxed);
                if index >= plan.requests {
                    return;
                }
                let result = send_one(&plan, &client, index).await;
                results.lock().await.push(result);
            }
        });
    }
    let mut stop = std::pin::pin!(stop);
    loop {
        tokio::select! {
            ended = callers.join_next() => {
                if ended.is_none() {
                    break;
                }
            }
            () = stop.as_mut() => {
                callers.shutdown().await;
                break;
            }
            () = tokio::time::sleep(Duration::from_millis(PROGRESS_MS)) => {
                let done = results.lock().await.len();
                eprintln!("load: {done} of {} requests finished", plan.requests);
            }
        }
    }
    let results = std::mem::take(&mut *results.lock().await);
    LoadReport::new(results)
}

async fn send_one(plan: &LoadPlan, client: &CallerClient, index: usize) -> CallResult {
    let entry = &plan.entries[index % plan.entries.len()];
    let kind = plan.kinds[(index / plan.entries.len()) % plan.kinds.len()];
    let label = &plan.label;
    match kind {
        LoadKind::Booking => {
            let key = format!("{label}-{index}");
            client.book(entry, &plan.service, &key).await
        }
        LoadKind::Stock => client.stock(entry, &plan.service).await,
        LoadKind::Chat | LoadKind::Completion => {
            let prompt = prompt_text(plan, index);
            let sent = match kind {
                // The prompt that the entry builds from the messages of a chat.
                LoadKind::Chat => format!("user: {prompt}\nassistant:"),
                LoadKind::Booking | LoadKind::Completion | LoadKind::Stock => prompt.clone(),
            };
            let expected = match plan.layers {
                0 => String::new(),
                layers => TokenModel::new(plan.version, layers)
                    .answer(&sent, plan.tokens)
                    .concat(),
            };
            let call = (plan.model.as_str(), prompt.as_str(), plan.tokens);
            client.stream(entry, kind, call, &expected).await
        }
    }
}

fn prompt_text(plan: &LoadPlan, index: usize) -> String {
    let words = vec!["rope"; plan.prompt_words.saturating_sub(2)].join(" ");
    format!("{}-{index} {words} [length={}]", plan.label, plan.tokens)
}
