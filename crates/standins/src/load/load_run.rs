use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use tokio::task::JoinSet;

use crate::engine::TokenModel;

use super::CallResult;
use super::CallerClient;
use super::LoadKind;
use super::LoadPlan;
use super::LoadReport;

/// Runs a load: `concurrency` callers send one request after the other until all were sent.
pub async fn run_load(plan: LoadPlan) -> LoadReport {
    let plan = Arc::new(plan);
    let client = CallerClient::new(&plan.secret);
    let next = Arc::new(AtomicUsize::new(0));
    let mut callers = JoinSet::new();
    for _ in 0..plan.concurrency.clamp(1, plan.requests.max(1)) {
        let (plan, client, next) = (plan.clone(), client.clone(), next.clone());
        callers.spawn(async move {
            let mut results = Vec::new();
            loop {
                let index = next.fetch_add(1, Ordering::Relaxed);
                if index >= plan.requests {
                    return results;
                }
                results.push(send_one(&plan, &client, index).await);
            }
        });
    }
    let results = callers.join_all().await;
    LoadReport::new(results.into_iter().flatten().collect())
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
                // The entry joins the messages of a chat in this form.
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
