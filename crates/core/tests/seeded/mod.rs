//! Property tests on generated inputs with fixed seeds.
//!
//! `bolero::check!` derives only its first input from `BOLERO_RANDOM_SEED` and draws the others
//! from the system's entropy, so that its verdict can differ from run to run.

use std::fmt::Debug;

use bolero::TypeGenerator;
use bolero::bolero_engine::rng::Recommended;
use bolero::generator::bolero_generator::driver::Options;
use bolero::generator::bolero_generator::driver::Rng;
use rand::SeedableRng;

/// The first seed if `BOLERO_RANDOM_SEED` is not set.
const DEFAULT_SEED: u64 = 20_261_204;

/// Runs `property` on `iterations` inputs with successive seeds, and prints the seed and the input
/// if it panics.
pub(crate) fn for_each_seed<T: Debug + TypeGenerator>(iterations: u64, property: impl Fn(&T)) {
    let variable = std::env::var("BOLERO_RANDOM_SEED").ok();
    let first = variable.and_then(|text| text.parse().ok());
    let first: u64 = first.unwrap_or(DEFAULT_SEED);
    for seed in first..first + iterations {
        let mut driver = Rng::new(Recommended::seed_from_u64(seed), &Options::default());
        let input = T::generate(&mut driver).expect("the driver yields an input");
        let report = FailureReport(seed, &input);
        property(&input);
        std::mem::forget(report);
    }
}

/// Prints the seed and the input when dropped, which happens only if the property panics.
struct FailureReport<'a, T: Debug>(u64, &'a T);

impl<T: Debug> Drop for FailureReport<'_, T> {
    fn drop(&mut self) {
        eprintln!("failed with BOLERO_RANDOM_SEED={} and {:?}", self.0, self.1);
    }
}
