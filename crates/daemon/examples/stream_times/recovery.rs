//! Measures the time from a fault to the next token, for recovery and for a restart.

use std::time::Duration;

use super::format_times;
use super::restart::measure_restart;
use super::stream_support::EventReader;
use super::stream_support::TestCluster;
use super::stream_support::expected_tokens;
use super::token_pause::TokenPause;

const RANGES: [(u16, u16); 6] = [(0, 5), (0, 6), (3, 9), (4, 9), (7, 12), (8, 12)];
const STEP_TIME: Duration = Duration::from_millis(5);
const LINK_DELAY: Duration = Duration::from_micros(500);
const SLOW_DELAY: Duration = Duration::from_millis(50);
const TOKENS: u32 = 60;
/// The number of tokens before the fault.
pub(crate) const TOKENS_BEFORE: usize = 30;
/// The model does not end an answer before the requested number of tokens.
const NO_END: u32 = u32::MAX;

/// A fault and the stage of the route at which it is injected.
pub(crate) struct FaultCase {
    name: &'static str,
    pub(crate) stage: usize,
    pub(crate) apply: fn(&TestCluster, usize),
}

const CASES: [FaultCase; 6] = [
    FaultCase {
        name: "stage killed",
        stage: 1,
        apply: |cluster, victim| cluster.stages[victim].kill(),
    },
    FaultCase {
        name: "stage frozen",
        stage: 1,
        apply: |cluster, victim| cluster.stages[victim].freeze(),
    },
    FaultCase {
        name: "silent connection",
        stage: 1,
        apply: |cluster, victim| cluster.stages[victim].link.silence_connections(),
    },
    FaultCase {
        name: "head killed",
        stage: 0,
        apply: |cluster, victim| cluster.stages[victim].kill(),
    },
    FaultCase {
        name: "head frozen",
        stage: 0,
        apply: |cluster, victim| cluster.stages[victim].freeze(),
    },
    FaultCase {
        name: "link slowed 100x",
        stage: 1,
        apply: |cluster, victim| cluster.stages[victim].link.set_delay(SLOW_DELAY),
    },
];

/// Prints the times of each fault over a number of runs.
pub(crate) async fn measure(runs: usize) {
    println!(
        "time from the fault to the next token, ms, {runs} runs, fault after token \
         {TOKENS_BEFORE}, 3 stages, step {STEP_TIME:?}, link {LINK_DELAY:?} one way"
    );
    println!(
        "{:18} {:>9} {:>9}   restart of the whole request",
        "fault", "median", "worst"
    );
    for case in &CASES {
        let mut recoveries = Vec::new();
        let mut restarts = Vec::new();
        for run in 0..runs {
            let prompt = format!("{} {run}", case.name);
            recoveries.push(measure_recovery(case, &prompt).await);
            restarts.push(measure_restart(case, &prompt).await);
        }
        let recovery = format_times(&mut recoveries);
        println!(
            "{:18} {recovery}   {}",
            case.name,
            format_times(&mut restarts)
        );
    }
}

pub(crate) async fn start_cluster() -> TestCluster {
    TestCluster::start(&RANGES, STEP_TIME, LINK_DELAY, NO_END).await
}

async fn measure_recovery(case: &FaultCase, prompt: &str) -> Duration {
    let cluster = start_cluster().await;
    let mut reader = EventReader::new(cluster.complete(prompt, TOKENS, true).await);
    let mut tokens = Vec::new();
    while tokens.len() < TOKENS_BEFORE {
        tokens.push(reader.next_token().await.expect("a token before the fault"));
    }
    let victim = cluster.route()[case.stage];
    (case.apply)(&cluster, victim);
    let mut pause = TokenPause::start();
    while let Some(token) = reader.next_token().await {
        tokens.push(token);
        pause.record();
    }
    assert_eq!(
        tokens,
        expected_tokens(prompt, TOKENS),
        "the answer is whole and correct"
    );
    pause.end()
}
