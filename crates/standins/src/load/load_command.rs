use argh::FromArgs;

use super::LoadKind;
use super::LoadPlan;
use super::run_load_until;

/// The maximum number of requests of one load test.
const MAX_REQUESTS: usize = 100_000;

/// The maximum number of concurrent requests.
const MAX_CONCURRENCY: usize = 256;

/// The environment variable that holds the secret of the client account.
pub(super) const SECRET_VARIABLE: &str = "DANDELIONROAD_ACCOUNT_SECRET";

/// send a bounded number of requests to entries, and print outcomes and latency percentiles
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "load",
    note = "The secret of the client account is read from DANDELIONROAD_ACCOUNT_SECRET."
)]
pub struct LoadCommand {
    /// base URL of an entry; repeat the option for more entries
    #[argh(option)]
    pub entry: Vec<String>,
    /// kind of requests: chat, completion, stock or booking; repeat the option to mix kinds;
    /// default: chat
    #[argh(option)]
    pub kind: Vec<LoadKind>,
    /// number of requests, at most 100000; default: 200
    #[argh(option, default = "200")]
    pub requests: usize,
    /// number of concurrent requests, at most 256; default: 8
    #[argh(option, default = "8")]
    pub concurrency: usize,
    /// name of the model; default: knots
    #[argh(option, default = "String::from(\"knots\")")]
    pub model: String,
    /// number of layers of the stand-ins' model, to check the answers; 0 disables the check;
    /// default: 0
    #[argh(option, default = "0")]
    pub layers: u16,
    /// version of the model, to check the answers; default: 1
    #[argh(option, default = "1")]
    pub version: u32,
    /// name of the plain service; default: booking
    #[argh(option, default = "String::from(\"booking\")")]
    pub service: String,
    /// number of words of a prompt; default: 32
    #[argh(option, default = "32")]
    pub prompt_words: usize,
    /// number of tokens of an answer; default: 32
    #[argh(option, default = "32")]
    pub tokens: u32,
    /// prefix of prompts and idempotency keys, to keep those of different load tests apart; default:
    /// the process id
    #[argh(option, default = "std::process::id().to_string()")]
    pub label: String,
}

impl LoadCommand {
    /// Runs the load test and prints its report, also after an interrupt. Returns whether every
    /// request of the report was answered.
    pub async fn run(self) -> bool {
        let Ok(secret) = std::env::var(SECRET_VARIABLE) else {
            eprintln!("load: {SECRET_VARIABLE} is missing; set it to the client account's secret");
            return false;
        };
        if self.entry.is_empty() {
            eprintln!(
                "load: --entry is missing; set it to a base URL such as http://127.0.0.1:8080"
            );
            return false;
        }
        let kinds = match self.kind.is_empty() {
            true => vec![LoadKind::Chat],
            false => self.kind,
        };
        let plan = LoadPlan {
            entries: self.entry,
            secret,
            kinds,
            requests: self.requests.min(MAX_REQUESTS),
            concurrency: self.concurrency.min(MAX_CONCURRENCY),
            model: self.model,
            layers: self.layers,
            version: self.version,
            service: self.service,
            prompt_words: self.prompt_words,
            tokens: self.tokens,
            label: self.label,
        };
        let interrupted = async {
            if let Err(error) = tokio::signal::ctrl_c().await {
                eprintln!("load: can't handle interrupts: {error}; the load test runs to its end");
                std::future::pending::<()>().await;
            }
        };
        let report = run_load_until(plan, interrupted).await;
        print!("{report}");
        report.failures().is_empty()
    }
}
