//! Model requests under random schedules of messages and faults.
//!
//! Guards against a layer that runs a position twice, out of order or not at all, against answers
//! with missing, repeated or changed tokens, and against requests that never end. They come about
//! when messages are lost, duplicated or reordered, or when processes and engines fail or freeze.

mod stream_world;

use std::fmt;
use std::thread;
use std::time::Duration;

use bolero::ValueGenerator;
use bolero::produce;

use self::stream_world::SimWorld;

const SCHEDULE_COUNT: usize = 3_000;

/// The schedules of a run; the debug output is only their number, see [`FailurePrinter`].
struct Schedules(Vec<Vec<u8>>);

impl fmt::Debug for Schedules {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} schedules", self.0.len())
    }
}

/// Prints the index and the bytes of the current schedule if a check panics.
struct FailurePrinter<'a>(usize, &'a [u8]);

impl Drop for FailurePrinter<'_> {
    fn drop(&mut self) {
        if thread::panicking() {
            eprintln!("schedule {}: {:?}", self.0, self.1);
        }
    }
}

#[test]
fn stream_random_faults() {
    // Bolero derives only the first input from the fixed seed and draws the others from the
    // system's entropy, within one second. A single input with all schedules gives the same verdict
    // in each run.
    bolero::check!()
        .with_iterations(0)
        .with_test_time(Duration::MAX)
        .with_shrink_time(Duration::ZERO)
        .with_max_len(SCHEDULE_COUNT * 2_000)
        .with_generator(
            produce::<Vec<Vec<u8>>>()
                .with()
                .len(SCHEDULE_COUNT)
                .values(produce::<Vec<u8>>().with().len(200..1_000usize))
                .map_gen(Schedules),
        )
        .for_each(|schedules: &Schedules| {
            for (index, bytes) in schedules.0.iter().enumerate() {
                let _printer = FailurePrinter(index, bytes);
                SimWorld::run(bytes);
            }
        });
}
