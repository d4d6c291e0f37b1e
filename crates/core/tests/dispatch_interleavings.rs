//! Calls that are not idempotent under random interleavings.

mod call_world;
mod seeded;

use self::call_world::World;
use self::seeded::for_each_seed;

const ITERATIONS: u64 = 20_000;

/// Guards against a second run of a key, against a run after its request was refused `not-run`,
/// against a run of a request that sent its first order before another one with the key was refused
/// `not-run`, against requests that are never answered and against rows that stay dispatched.
#[test]
fn calls_run_at_most_once_and_refusals_are_true() {
    for_each_seed(ITERATIONS, |seed: &u64| {
        let mut world = World::new(*seed);
        world.run();
        world.check();
    });
}
