use std::str::FromStr;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use dandelionroad_core::admit::WorkUnits;

use super::RequestSpec;
use super::sim_clock::SECOND_US;

/// The fixed part of a request's deadline, in milliseconds.
const DEADLINE_BASE_MS: u64 = 5_000;

/// The part of the deadline for each generated token, in milliseconds.
const DEADLINE_TOKEN_MS: u64 = 200;

/// The number of client accounts.
const ACCOUNTS: usize = 10;

/// The ranges of the numbers of prompt tokens and generated tokens.
type TokenRanges = ((u32, u32), (u32, u32));
const SMALL: TokenRanges = ((40, 200), (16, 64));
const MEDIUM: TokenRanges = ((200, 800), (100, 300));
const LARGE: TokenRanges = ((500, 2_000), (150, 400));

/// A workload: the sizes, the accounts and the load over time of the requests that callers send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadWorkload {
    /// Many small requests of all accounts.
    Morning,
    /// Few large requests of all accounts.
    Evening,
    /// Requests of medium size, as for drafting, at 0.8 times the load, with a surge to three times the
    /// load in the middle third.
    Surge,
    /// Small requests of nine accounts and, after the first third, large requests of one more account.
    LargeAccount,
}

impl LoadWorkload {
    /// Every workload.
    pub const ALL: [LoadWorkload; 4] = [
        LoadWorkload::Morning,
        LoadWorkload::Evening,
        LoadWorkload::Surge,
        LoadWorkload::LargeAccount,
    ];

    /// Returns the name on the command line.
    pub const fn as_str(self) -> &'static str {
        match self {
            LoadWorkload::Morning => "morning",
            LoadWorkload::Evening => "evening",
            LoadWorkload::Surge => "surge",
            LoadWorkload::LargeAccount => "large-account",
        }
    }

    /// Returns the default load, as a multiple of the throughput bound.
    pub const fn default_load(self) -> f64 {
        match self {
            LoadWorkload::Morning | LoadWorkload::Evening => 1.2,
            LoadWorkload::Surge => 1.0,
            LoadWorkload::LargeAccount => 1.5,
        }
    }

    /// Returns the requests of `seconds` at `load` times the throughput bound, sorted by arrival.
    pub fn requests(
        self,
        seconds: u64,
        load: f64,
        bound_units_per_second: u64,
        seed: u64,
    ) -> Vec<RequestSpec> {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let end_us = seconds * SECOND_US;
        let rate = load * bound_units_per_second as f64;
        let mut requests = Vec::new();
        match self {
            LoadWorkload::Morning => {
                add_arrivals(
                    &mut requests,
                    &mut random,
                    (0, end_us),
                    SMALL,
                    rate,
                    draw_account,
                );
            }
            LoadWorkload::Evening => {
                add_arrivals(
                    &mut requests,
                    &mut random,
                    (0, end_us),
                    LARGE,
                    rate,
                    draw_account,
                );
            }
            LoadWorkload::Surge => {
                let (first, second) = (end_us / 3, end_us / 3 * 2);
                for (span, factor) in [
                    ((0, first), 0.8),
                    ((first, second), 3.0),
                    ((second, end_us), 0.8),
                ] {
                    add_arrivals(
                        &mut requests,
                        &mut random,
                        span,
                        MEDIUM,
                        rate * factor,
                        draw_account,
                    );
                }
            }
            LoadWorkload::LargeAccount => {
                let small_rate = 0.3 * bound_units_per_second as f64;
                let small = |random: &mut ChaCha8Rng| random.random_range(1..ACCOUNTS);
                add_arrivals(
                    &mut requests,
                    &mut random,
                    (0, end_us),
                    SMALL,
                    small_rate,
                    small,
                );
                add_arrivals(
                    &mut requests,
                    &mut random,
                    (end_us / 3, end_us),
                    LARGE,
                    rate,
                    |_| 0,
                );
            }
        }
        requests.sort_by_key(|request| request.arrival_us);
        requests
    }
}

impl FromStr for LoadWorkload {
    type Err = String;

    fn from_str(text: &str) -> Result<LoadWorkload, String> {
        let known = LoadWorkload::ALL.map(LoadWorkload::as_str);
        match known.iter().position(|name| *name == text) {
            Some(index) => Ok(LoadWorkload::ALL[index]),
            None => Err(format!(
                "unknown workload {text:?}; use one of {}",
                known.join(", ")
            )),
        }
    }
}

/// Draws an account; accounts 0 and 1 send a quarter of the requests each.
fn draw_account(random: &mut ChaCha8Rng) -> usize {
    match random.random_range(0..4) {
        large @ 0..2 => large,
        _ => random.random_range(2..ACCOUNTS),
    }
}

/// Adds Poisson arrivals in a time span, at a mean rate in work units per second.
fn add_arrivals(
    requests: &mut Vec<RequestSpec>,
    random: &mut ChaCha8Rng,
    (start_us, end_us): (u64, u64),
    (prompt, generated): TokenRanges,
    rate: f64,
    account: impl Fn(&mut ChaCha8Rng) -> usize,
) {
    let mean = |range: (u32, u32)| u64::from(range.0 + range.1) / 2;
    let mean_units = WorkUnits::default().of_request(mean(prompt), mean(generated));
    let mean_gap_us = mean_units as f64 / rate * SECOND_US as f64;
    let mut time_us = start_us as f64;
    loop {
        time_us -= mean_gap_us * (1.0 - random.random::<f64>()).ln();
        if time_us >= end_us as f64 {
            return;
        }
        let generated_tokens = random.random_range(generated.0..=generated.1);
        requests.push(RequestSpec {
            arrival_us: time_us as u64,
            account: account(random),
            prompt_tokens: random.random_range(prompt.0..=prompt.1),
            generated_tokens,
            deadline_ms: DEADLINE_BASE_MS + DEADLINE_TOKEN_MS * u64::from(generated_tokens),
        });
    }
}
