//! Measures recovery times, and compares a chain of stages with a star of calls.
//!
//! The first table shows, for each fault, the median and the worst time from the fault to the next
//! token, next to a baseline that detects faults in the same way but restarts the whole request.
//! The second table shows the time between tokens and the messages for each token, with one and
//! three stages: along a chain, and with one call from the entry to each stage. Run with
//! `cargo run --release -p dandelionroad-daemon --example stream_times -- [runs]`.

mod chain_star;
mod recovery;
mod restart;
#[path = "../../tests/stream_support/mod.rs"]
mod stream_support;
mod token_pause;

use std::time::Duration;

/// The number of runs of each fault if none is given.
const DEFAULT_RUNS: usize = 10;

#[tokio::main]
async fn main() {
    let runs = std::env::args().nth(1);
    let runs = runs.and_then(|text| text.parse().ok());
    recovery::measure(runs.unwrap_or(DEFAULT_RUNS)).await;
    chain_star::measure().await;
}

/// Formats the median and the maximum of some times, in milliseconds.
fn format_times(times: &mut [Duration]) -> String {
    times.sort_unstable();
    let millis = |time: Duration| time.as_secs_f64() * 1_000.0;
    let (Some(median), Some(worst)) = (times.get(times.len() / 2), times.last()) else {
        return "none".to_owned();
    };
    format!("{:9.2} {:9.2}", millis(*median), millis(*worst))
}
