//! Callers that keep up a load of model requests and bookings during a test.
//!
//! Each caller sends one request after the other through the entries that are ready. Three of four
//! requests are completions whose text is checked; each fourth one is a booking.

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

/// The number of concurrent callers.
const CALLERS: usize = 6;

/// The number of tokens of each completion.
pub(crate) const TOKENS: u32 = 12;

/// Callers behind a balancer that sends requests to ready entries only.
pub(crate) struct Callers {
    ready: Arc<Mutex<Vec<String>>>,
    is_stopped: Arc<AtomicBool>,
    ended_count: Arc<AtomicUsize>,
    tasks: JoinSet<Vec<CallResult>>,
}

impl Callers {
    /// Starts the callers; `label` makes their prompts and idempotency keys unique within a test.
    pub(crate) fn start(cluster: &ProcessCluster, label: &'static str) -> Callers {
        let entries = cluster.entries.iter();
        let urls = entries.map(|entry| format!("http://{}", entry.public));
        let mut callers = Callers {
            ready: Arc::new(Mutex::new(urls.collect())),
            is_stopped: Arc::default(),
            ended_count: Arc::default(),
            tasks: JoinSet::new(),
        };
        for caller in 0..CALLERS {
            let ready = callers.ready.clone();
            let is_stopped = callers.is_stopped.clone();
            let ended_count = callers.ended_count.clone();
            callers.tasks.spawn(async move {
                let client = CallerClient::new(ACCOUNT_SECRET);
                let mut results = Vec::new();
                while !is_stopped.load(Ordering::Relaxed) {
                    let index = results.len();
                    let entry = {
                        let ready = ready.lock().unwrap();
                        ready[(caller + index) % ready.len()].clone()
                    };
                    let label = format!("{label}-{caller}-{index}");
                    results.push(match index % 4 {
                        3 => client.book(&entry, SERVICE, &label).await,
                        _ => complete(&client, &entry, &label).await,
                    });
                    ended_count.fetch_add(1, Ordering::Relaxed);
                }
                results
            });
        }
        callers
    }

    /// Takes an entry out of the balancer, as a failed readiness check does.
    pub(crate) fn remove(&self, public: &str) {
        let url = format!("http://{public}");
        self.ready.lock().unwrap().retain(|known| *known != url);
    }

    /// Adds a ready entry to the balancer.
    pub(crate) fn add(&self, public: &str) {
        self.ready.lock().unwrap().push(format!("http://{public}"));
    }

    /// Waits until 2 × [`CALLERS`] further requests have ended, so that each caller can have
    /// started a new one.
    pub(crate) async fn wait_for_round(&self) {
        let target = self.ended_count.load(Ordering::Relaxed) + 2 * CALLERS;
        wait_until("a round of requests", async || {
            self.ended_count.load(Ordering::Relaxed) >= target
        })
        .await;
    }

    /// Stops the callers after their current requests and returns all results.
    pub(crate) async fn finish(self) -> LoadReport {
        self.is_stopped.store(true, Ordering::Relaxed);
        let results = self.tasks.join_all().await;
        LoadReport::new(results.into_iter().flatten().collect())
    }
}

async fn complete(client: &CallerClient, entry: &str, label: &str) -> CallResult {
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
