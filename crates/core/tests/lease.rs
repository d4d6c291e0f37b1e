//! Guards against two processes that act as the holder of one lease at the same time, after a pause of
//! the holder, a lost answer of the store or a delayed write.

use dandelionroad_core::lease::LeaseHolder;
use dandelionroad_core::lease::LeaseRow;
use dandelionroad_core::lease::LeaseStep;
use dandelionroad_core::time::MilliTime;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const LEASE_LENGTH_MS: u64 = 5_000;
const SCHEDULE_COUNT: u64 = 10_000;

/// A write on its way to the store.
struct PendingWrite {
    process: usize,
    read_start: u64,
    row: LeaseRow,
    /// The version that the row must still have for the write to take effect.
    expected: u64,
    /// The simulated time at which the store executes the write, in milliseconds.
    executed_at: u64,
    loses_answer: bool,
}

/// Simulates three processes with random pauses, lost answers and delayed writes.
///
/// Returns the number of simulation steps in which the lease was held.
fn simulate_schedule(seed: u64) -> u64 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut holders: Vec<_> = (0..3)
        .map(|index| LeaseHolder::new(&format!("p{index}"), LEASE_LENGTH_MS))
        .collect();
    let mut paused_until = [0; 3];
    let mut next_step = [0; 3];
    let mut row: Option<LeaseRow> = None;
    let mut version = 0;
    let mut writes: Vec<PendingWrite> = Vec::new();
    let mut held = 0;
    for now in (0..60_000).step_by(50) {
        let mut index = 0;
        while index < writes.len() {
            if writes[index].executed_at > now {
                index += 1;
                continue;
            }
            let write = writes.remove(index);
            if write.expected != version {
                holders[write.process].record_loss();
                continue;
            }
            version += 1;
            row = Some(write.row.clone());
            if !write.loses_answer {
                let start = MilliTime::from_millis(write.read_start);
                holders[write.process].record_write(&write.row, start);
            }
        }
        for process in 0..3 {
            if paused_until[process] > now || next_step[process] > now {
                continue;
            }
            next_step[process] = now + 1_500;
            match holders[process].next_step(row.as_ref(), now) {
                LeaseStep::Wait => holders[process].record_loss(),
                LeaseStep::Write(next) => writes.push(PendingWrite {
                    process,
                    read_start: now,
                    row: next,
                    expected: version,
                    executed_at: now + [0, 0, 100, 2_000][rng.random_range(0..4)],
                    loses_answer: rng.random_range(0..5) == 0,
                }),
            }
            if rng.random_range(0..10) == 0 {
                paused_until[process] = now + rng.random_range(1_000..9_000);
            }
        }
        let time = MilliTime::from_millis(now);
        let holding = holders.iter().filter(|holder| holder.is_held(time)).count();
        assert!(holding <= 1, "seed {seed}: {holding} holders at {now} ms");
        held += holding as u64;
    }
    held
}

/// Guards against overlapping holders: at each step of a random schedule, at most one process relies on
/// the lease.
#[test]
fn lease_holder_random_schedules() {
    let held: u64 = (0..SCHEDULE_COUNT).map(simulate_schedule).sum();
    // Held in at least half of the 1,200 steps of a schedule; otherwise the test covers too little.
    assert!(
        held > SCHEDULE_COUNT * 600,
        "the lease was held in only {held} steps"
    );
}

/// Guards against a restarted process that continues the lease and term of its previous run.
#[test]
fn lease_holder_restart_is_another_holder() {
    let old = LeaseRow {
        holder: "entry-1/100".to_owned(),
        term: 4,
        until_ms: 9_000,
    };
    let restarted = LeaseHolder::new("entry-1/200", LEASE_LENGTH_MS);
    assert_eq!(restarted.next_step(Some(&old), 8_000), LeaseStep::Wait);
    let LeaseStep::Write(next) = restarted.next_step(Some(&old), 9_000) else {
        panic!("an expired lease must be acquired");
    };
    assert_eq!(next.term, 5);
}
