use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

/// The number of samples, whose median is the result.
const SAMPLES: usize = 7;

/// The minimum duration of a sample, in which the call is repeated.
const MIN_SAMPLE_TIME: Duration = Duration::from_millis(10);

/// Returns the median time of one call, in nanoseconds.
pub(super) fn median_ns<T>(mut call: impl FnMut() -> T) -> u64 {
    let mut samples: Vec<u64> = (0..SAMPLES).map(|_| sample(&mut call)).collect();
    samples.sort_unstable();
    samples[SAMPLES / 2]
}

/// Returns the mean time of one call in a sample, in nanoseconds.
fn sample<T>(call: &mut impl FnMut() -> T) -> u64 {
    let start = Instant::now();
    let mut calls = 0;
    while start.elapsed() < MIN_SAMPLE_TIME {
        black_box(call());
        calls += 1;
    }
    (start.elapsed().as_nanos() / calls) as u64
}
