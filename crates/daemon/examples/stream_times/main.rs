//! Measures recovery times and compares the chain with a star of calls.
//!
//! Prints, for each fault, the time from the fault to the next token, median and worst, beside a
//! baseline that detects faults alike but restarts the whole request; and messages for each token
//! and the time between tokens for one and three stages, along a chain and with one call from the
//! entry to each stage. Run with
//! `cargo run --release -p dandelionroad-daemon --example stream_times -- [runs]`.

mod chain_star;
mod recovery;
mod restart;
#[path = "../../tests/stream_support/mod.rs"]
mod stream_support;
mod token_pause;

use std::time::Duration;

const DEFAULT_RUNS: usize = 10;

#[tokio::main]
async fn main() {
    let runs = std::env::args().nth(1);
    let runs = runs.and_then(|text| text.parse().ok());
    recovery::measure(runs.unwrap_or(DEFAULT_RUNS)).await;
    chain_star::measure().await;
}

/// Prints the median and the worst of some times in milliseconds.
fn describe(times: &mut [Duration]) -> String {
    times.sort_unstable();
    let millis = |time: Duration| time.as_secs_f64() * 1_000.0;
    let (Some(median), Some(worst)) = (times.get(times.len() / 2), times.last()) else {
        return "none".to_owned();
    };
    format!("{:9.2} {:9.2}", millis(*median), millis(*worst))
}
