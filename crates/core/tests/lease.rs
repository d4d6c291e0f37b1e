//! Guards against two processes that act as the holder of one lease at the same time, after a pause of
//! the holder, a lost answer of the store or a delayed write.

use dandelionroad_core::lease::LeaseHolder;
use dandelionroad_core::lease::LeaseRow;
use dandelionroad_core::lease::LeaseStep;
use dandelionroad_core::relay::StoreVersion;
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
    /// The era of the store when the row was read.
    era: u64,
    /// The simulated time at which the store executes the write, in milliseconds.
    executed_at: u64,
    loses_answer: bool,
}

/// Simulates three processes with random pauses, lost answers and delayed writes.
///
/// With `has_returns`, the store comes back from older copies at times, with a clock that is set back or not. Returns
/// the number of simulation steps in which the lease was held.
fn simulate_schedule(seed: u64, has_returns: bool) -> u64 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut holders: Vec<_> = (0..3)
        .map(|index| LeaseHolder::new(&format!("p{index}"), LEASE_LENGTH_MS))
        .collect();
    let mut paused_until = [0; 3];
    let mut next_step = [0; 3];
    let mut row: Option<LeaseRow> = None;
    let mut version = 0;
    let (mut era, mut set_back) = (0, 0);
    let mut copies = Vec::new();
    let mut writes: Vec<PendingWrite> = Vec::new();
    let mut held = 0;
    for now in (0..60_000).step_by(50) {
        copies.push((row.clone(), version));
        if has_returns && rng.random_range(0..150) == 0 {
            let age = rng.random_range(0..copies.len().min(400));
            (row, version) = copies[copies.len() - 1 - age].clone();
            era += 1;
            set_back = rng.random_range(0..2) * age as u64 * 50;
        }
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
            if !write.loses_answer && write.era == era {
                let start = MilliTime::from_millis(write.read_start);
                holders[write.process].record_write(&write.row, start);
            }
        }
        for process in 0..3 {
            if paused_until[process] > now || next_step[process] > now {
                continue;
            }
            next_step[process] = now + 1_500;
            let time = MilliTime::from_millis(now);
            holders[process].enter_era(StoreVersion::new(era, version), time);
            let store_ms = now - set_back;
            match holders[process].next_step(row.as_ref(), store_ms, time) {
                LeaseStep::Wait => holders[process].record_loss(),
                LeaseStep::Write(next) => writes.push(PendingWrite {
                    process,
                    read_start: now,
                    row: next,
                    expected: version,
                    era,
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
    let held: u64 = (0..SCHEDULE_COUNT)
        .map(|seed| simulate_schedule(seed, false))
        .sum();
    // Held in at least half of the 1,200 steps of a schedule; otherwise the test covers too little.
    assert!(
        held > SCHEDULE_COUNT * 600,
        "the lease was held in only {held} steps"
    );
}

/// Guards against overlapping holders after the store has lost rows that it had acknowledged: the version that a write
/// expects may have been given out again, and the row of the holder may be gone.
#[test]
fn lease_holder_random_returns() {
    let held: u64 = (0..SCHEDULE_COUNT)
        .map(|seed| simulate_schedule(seed, true))
        .sum();
    assert!(
        held > SCHEDULE_COUNT * 200,
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
    let mut restarted = LeaseHolder::new("entry-1/200", LEASE_LENGTH_MS);
    let now = MilliTime::from_millis(100);
    assert_eq!(restarted.next_step(Some(&old), 8_000, now), LeaseStep::Wait);
    let LeaseStep::Write(next) = restarted.next_step(Some(&old), 9_000, now) else {
        panic!("an expired lease must be acquired");
    };
    assert_eq!(next.term, 5);
}

/// The store comes back from a copy without the holder's row. The holder must go on with a higher term, and no other
/// process, nor one that starts then, may write before the holder's lease has ended by the holder's clock.
#[test]
fn lease_holder_new_era_waits_for_holder() {
    let time = MilliTime::from_millis;
    let (before, after) = (StoreVersion::new(1, 90), StoreVersion::new(2, 40));
    let mut holder = LeaseHolder::new("p0", LEASE_LENGTH_MS);
    holder.enter_era(before, time(0));
    assert_eq!(holder.next_step(None, 0, time(100)), LeaseStep::Wait);
    let LeaseStep::Write(row) = holder.next_step(None, 6_000, time(6_000)) else {
        panic!("the lease is free");
    };
    holder.record_write(&row, time(6_000));
    let mut other = LeaseHolder::new("p1", LEASE_LENGTH_MS);
    other.enter_era(before, time(0));
    for process in [&mut holder, &mut other] {
        process.enter_era(after, time(7_000));
    }
    assert_eq!(other.next_step(None, 7_000, time(7_000)), LeaseStep::Wait);
    let LeaseStep::Write(next) = holder.next_step(None, 7_000, time(7_000)) else {
        panic!("the holder writes at once");
    };
    assert!(next.term > row.term && next.holder != row.holder);
    // The holder is lost before it writes.
    assert_eq!(other.next_step(None, 11_999, time(11_999)), LeaseStep::Wait);
    assert!(matches!(
        other.next_step(None, 12_000, time(12_000)),
        LeaseStep::Write(_)
    ));
}

/// The clock of a restored store may have been set back; the row of the copy must not block the lease until then.
#[test]
fn lease_holder_row_of_later_clock_is_expired() {
    let time = MilliTime::from_millis;
    let row = LeaseRow {
        holder: "p9".to_owned(),
        term: 4,
        until_ms: 900_000,
    };
    let mut holder = LeaseHolder::new("p0", LEASE_LENGTH_MS);
    holder.enter_era(StoreVersion::new(2, 40), time(0));
    let step = holder.next_step(Some(&row), 5_000, time(5_000));
    assert!(matches!(step, LeaseStep::Write(next) if next.term == 5));
}
