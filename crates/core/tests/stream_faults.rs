//! Model requests over random interleavings of messages and faults.
//!
//! Guards against a layer that runs a position twice, out of order or not at all, against answers
//! with holes, repeats or changed tokens, and against requests that never end.

mod stream_world;

use self::stream_world::SimWorld;

#[test]
fn stream_random_faults() {
    bolero::check!()
        .with_iterations(10_000)
        .with_max_len(700)
        .for_each(|bytes: &[u8]| SimWorld::run(bytes));
}
