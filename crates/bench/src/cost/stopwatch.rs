use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

/// The number of samples, of which the median is taken.
const SAMPLES: usize = 7;

/// The least time of a sample.
const SAMPLE_TIME: Duration = Duration::from_millis(10);

/// Returns the median time of one call in nanoseconds.
pub(super) fn time_of<T>(mut call: impl FnMut() -> T) -> u64 {
    let mut samples: Vec<u64> = (0..SAMPLES).map(|_| sample(&mut call)).collect();
    samples.sort_unstable();
    samples[SAMPLES / 2]
}

fn sample<T>(call: &mut impl FnMut() -> T) -> u64 {
    let start = Instant::now();
    let mut calls = 0;
    while start.elapsed() < SAMPLE_TIME {
        black_box(call());
        calls += 1;
    }
    (start.elapsed().as_nanos() / calls) as u64
}
