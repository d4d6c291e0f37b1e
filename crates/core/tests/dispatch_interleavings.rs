//! Calls that are not idempotent, under random interleavings.

mod call_world;
mod seeded;

use self::call_world::World;
use self::seeded::for_each_seed;

const ITERATIONS: u64 = 20_000;

/// Guards against violations of the at-most-once protocol, which arise when entries, endpoints, the
/// store and connections fail or pause between any two steps:
///
/// - a second run of a key
/// - a run of a request after it was refused as `not-run`
/// - a run of a request that sent its first order before another request with the key was refused
///   as `not-run`
/// - a request that is never answered
/// - a row that stays dispatched
#[test]
fn calls_run_at_most_once_and_refusals_are_true() {
    for_each_seed(ITERATIONS, |seed: &u64| {
        let mut world = World::new(*seed);
        world.run();
        world.check();
    });
}
