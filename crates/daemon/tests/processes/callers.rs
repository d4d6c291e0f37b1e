//! Callers that send one request after the other through the entries that are ready.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use dandelionroad_demo::ACCOUNT_SECRET;
use dandelionroad_demo::LAYERS;
use dandelionroad_demo::MODEL;
use dandelionroad_demo::SERVICE;
use dandelionroad_standins::engine::TokenModel;
use dandelionroad_standins::load::CallResult;
use dandelionroad_standins::load::CallerClient;
use dandelionroad_standins::load::LoadKind;
use dandelionroad_standins::load::LoadReport;
use tokio::task::JoinSet;

use super::process_support::ProcessCluster;
use super::process_support::wait_until;

/// The number of callers that send one request after the other.
const CALLERS: usize = 6;

/// The number of tokens of each answer.
pub(crate) const TOKENS: u32 = 12;

/// Callers behind a balancer that knows which entries are ready.
pub(crate) struct Callers {
    ready: Arc<Mutex<Vec<String>>>,
    is_over: Arc<AtomicBool>,
    ended: Arc<AtomicUsize>,
    tasks: JoinSet<Vec<CallResult>>,
}

impl Callers {
    /// Starts the callers; `label` makes their prompts and keys distinct from those of others.
    pub(crate) fn start(cluster: &ProcessCluster, label: &'static str) -> Callers {
        let entries = cluster.entries.iter();
        let urls = entries.map(|entry| format!("http://{}", entry.public));
        let mut callers = Callers {
            ready: Arc::new(Mutex::new(urls.collect())),
            is_over: Arc::default(),
            ended: Arc::default(),
            tasks: JoinSet::new(),
        };
        for caller in 0..CALLERS {
            let ready = callers.ready.clone();
            let is_over = callers.is_over.clone();
            let ended = callers.ended.clone();
            callers.tasks.spawn(async move {
                let client = CallerClient::new(ACCOUNT_SECRET);
                let mut results = Vec::new();
                while !is_over.load(Ordering::Relaxed) {
                    let index = results.len();
                    let entry = {
                        let ready = ready.lock().unwrap();
                        ready[(caller + index) % ready.len()].clone()
                    };
                    let label = format!("{label}-{caller}-{index}");
                    results.push(match index % 4 {
                        3 => client.book(&entry, SERVICE, &label).await,
                        _ => ask(&client, &entry, &label).await,
                    });
                    ended.fetch_add(1, Ordering::Relaxed);
                }
                results
            });
        }
        callers
    }

    /// Does what the balancer does once the readiness check of an entry fails.
    pub(crate) fn remove(&self, public: &str) {
        let url = format!("http://{public}");
        self.ready.lock().unwrap().retain(|known| *known != url);
    }

    pub(crate) fn add(&self, public: &str) {
        self.ready.lock().unwrap().push(format!("http://{public}"));
    }

    /// Waits until each caller can have sent a request after this call.
    pub(crate) async fn wait_round(&self) {
        let target = self.ended.load(Ordering::Relaxed) + 2 * CALLERS;
        wait_until("a round of requests", async || {
            self.ended.load(Ordering::Relaxed) >= target
        })
        .await;
    }

    pub(crate) async fn finish(self) -> LoadReport {
        self.is_over.store(true, Ordering::Relaxed);
        let results = self.tasks.join_all().await;
        LoadReport::new(results.into_iter().flatten().collect())
    }
}

async fn ask(client: &CallerClient, entry: &str, label: &str) -> CallResult {
    let prompt = format!("splice {label} [length={TOKENS}]");
    let expected = TokenModel::new(1, LAYERS).answer(&prompt, TOKENS).concat();
    let call = (MODEL, prompt.as_str(), TOKENS);
    client
        .stream(entry, LoadKind::Completion, call, &expected)
        .await
}

pub(crate) fn assert_nothing_cut_off(report: &LoadReport) {
    assert!(report.results.len() > CALLERS, "too few requests: {report}");
    assert!(report.failures().is_empty(), "{report}");
}
