//! Random schedules of streams that are resumed repeatedly, and of retries while processes crash
//! and restart.

use dandelionroad_core::admit::RetryBudget;
use dandelionroad_core::relay::EventSplitter;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// The number of schedules per test.
const SCHEDULE_COUNT: u64 = 10_000;

fn event(id: u64) -> Vec<u8> {
    format!("id: {id}\ndata: token {id}\n\n").into_bytes()
}

/// Returns the bytes that an engine sends when it resumes a stream after event `after`, with a random
/// fault at their end.
fn resumed_run_bytes(rng: &mut ChaCha8Rng, after: u64, events: u64) -> Vec<u8> {
    let last = rng.random_range(after..=events);
    let mut bytes: Vec<u8> = (after + 1..=last).flat_map(event).collect();
    match rng.random_range(0..5) {
        // An event is skipped or repeated; the first event of a stream may have any number.
        0 if last > 0 => bytes.extend(event(last + 2)),
        1 if last > 0 => bytes.extend(event(last)),
        // The run ends in the middle of an event.
        2 => {
            let kept = rng.random_range(0..=bytes.len());
            bytes.truncate(kept);
        }
        // Bytes that are not an event.
        3 => bytes.extend_from_slice(b"\x00garbled"),
        _ => {}
    }
    bytes
}

/// Forwards one run in pieces of random sizes; returns whether it ended without an error.
fn forward_run(
    rng: &mut ChaCha8Rng,
    splitter: &mut EventSplitter,
    bytes: &[u8],
    passed: &mut Vec<u8>,
) -> bool {
    let mut rest = bytes;
    while !rest.is_empty() {
        let size = rng.random_range(1..=rest.len().min(60));
        let (piece, tail) = rest.split_at(size);
        rest = tail;
        match splitter.push(piece) {
            Ok(complete) => passed.extend(complete),
            Err(_) => return false,
        }
    }
    !splitter.has_partial_event()
}

/// Guards against lost, repeated or incomplete events in a stream that other engines resume after
/// faults.
#[test]
fn stream_resumed_in_random_schedules() {
    for seed in 0..SCHEDULE_COUNT {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let events = rng.random_range(1..20);
        let mut splitter = EventSplitter::new(None);
        let mut passed = Vec::new();
        for _ in 0..200 {
            let after = splitter.last_id().unwrap_or(0);
            let bytes = resumed_run_bytes(&mut rng, after, events);
            forward_run(&mut rng, &mut splitter, &bytes, &mut passed);
            if splitter.last_id().unwrap_or(0) >= events {
                break;
            }
            splitter = EventSplitter::new(splitter.last_id());
        }
        let last = splitter.last_id().unwrap_or(0);
        let expected: Vec<u8> = (1..=last).flat_map(event).collect();
        assert_eq!(passed, expected, "seed {seed}");
    }
}

/// The window in which retries are limited, in milliseconds.
const WINDOW_MS: u64 = 10_000;

/// The retries allowed per window in addition to the share of the requests.
const RETRY_SLACK: u32 = 248;

/// Simulates processes that crash and restart while all their requests fail; returns the maximum
/// number of retries per window beyond the allowed ones.
fn excess_retries(seed: u64, starts_empty: bool) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let count = rng.random_range(2..33_u32);
    let percent = 20;
    let start = || match starts_empty {
        true => RetryBudget::empty(percent, RETRY_SLACK / count),
        false => RetryBudget::new(percent, RETRY_SLACK / count),
    };
    let mut budgets: Vec<RetryBudget> = (0..count).map(|_| start()).collect();
    let mut requests: Vec<u64> = Vec::new();
    let mut retries: Vec<u64> = Vec::new();
    let mut fails_until = 0;
    let mut excess = f64::MIN;
    for now in (0..30_000_u64).step_by(200) {
        if rng.random_bool(0.01) {
            // Either all processes restart, or one.
            let all = rng.random_bool(0.5);
            let one = rng.random_range(0..count) as usize;
            for (index, budget) in budgets.iter_mut().enumerate() {
                if all || index == one {
                    *budget = start();
                }
            }
        }
        if rng.random_bool(0.02) {
            fails_until = now + rng.random_range(500..5_000);
        }
        for budget in &mut budgets {
            for _ in 0..rng.random_range(0..3) {
                requests.push(now);
                budget.credit_request();
                if now < fails_until {
                    while budget.take_retry() {
                        retries.push(now);
                    }
                }
            }
        }
        if !now.is_multiple_of(1_000) {
            continue;
        }
        let within = |times: &[u64]| {
            let from = now.saturating_sub(WINDOW_MS);
            times.len() - times.partition_point(|time| *time < from)
        };
        let allowed = within(&requests) as f64 * 0.2 + f64::from(RETRY_SLACK);
        excess = excess.max(within(&retries) as f64 - allowed);
    }
    excess
}

/// Guards against processes that start with a full retry budget, so that a series of restarts
/// exceeds the shared limit.
#[test]
fn retries_bounded_in_random_schedules() {
    for seed in 0..SCHEDULE_COUNT {
        let excess = excess_retries(seed, true);
        assert!(
            excess <= 0.0,
            "seed {seed}: {excess} retries above the limit"
        );
    }
}

/// Verifies that the test above detects the fault: budgets that are full at the start exceed the
/// limit.
#[test]
fn retries_full_at_start_exceed() {
    let worst = (0..50).map(|seed| excess_retries(seed, false));
    assert!(worst.fold(f64::MIN, f64::max) > 0.0);
}
