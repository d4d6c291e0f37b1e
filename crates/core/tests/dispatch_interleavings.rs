//! Calls that are not idempotent under random interleavings.

mod call_world;

use self::call_world::World;

const ITERATIONS: usize = 20_000;

/// Guards against a second run of a key, against a run after its request was refused `not-run`,
/// against a run of a request that sent its first order before another one with the key was refused
/// `not-run`, against requests that are never answered and against rows that stay dispatched.
#[test]
fn calls_run_at_most_once_and_refusals_are_true() {
    bolero::check!()
        .with_iterations(ITERATIONS)
        .with_type::<u64>()
        .for_each(|seed| {
            let mut world = World::new(*seed);
            world.run();
            world.check();
        });
}
