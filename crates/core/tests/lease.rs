//! Guards against two processes that give orders at the same time: after a pause, a lost answer or a
//! write that is carried out late.

use dandelionroad_core::lease::LeaseHolder;
use dandelionroad_core::lease::LeaseRow;
use dandelionroad_core::lease::LeaseStep;
use dandelionroad_core::time::MilliTime;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const LENGTH_MS: u64 = 5_000;
const SCHEDULES: u64 = 10_000;

/// A write under way: the process, its read's start, the row, the expected version, the delivery
/// and whether the answer is lost.
struct PendingWrite {
    process: usize,
    read_start: u64,
    row: LeaseRow,
    expected: u64,
    delivered: u64,
    loses_answer: bool,
}

/// Plays one schedule of reads, writes, pauses and lost or late answers.
fn play(seed: u64) -> u64 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut holders: Vec<_> = (0..3)
        .map(|index| LeaseHolder::new(&format!("p{index}"), LENGTH_MS))
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
            if writes[index].delivered > now {
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
                    delivered: now + [0, 0, 100, 2_000][rng.random_range(0..4)],
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

#[test]
fn lease_holder_random_schedules() {
    let held: u64 = (0..SCHEDULES).map(play).sum();
    // Held for at least half of the steps, or the schedules test nothing.
    assert!(held > SCHEDULES * 600, "held in {held} steps");
}

#[test]
fn lease_holder_restart_is_another_holder() {
    let old = LeaseRow {
        holder: "entry-1/100".to_owned(),
        term: 4,
        until_ms: 9_000,
    };
    let restarted = LeaseHolder::new("entry-1/200", LENGTH_MS);
    assert_eq!(restarted.next_step(Some(&old), 8_000), LeaseStep::Wait);
    let LeaseStep::Write(next) = restarted.next_step(Some(&old), 9_000) else {
        panic!("a lapsed lease is free");
    };
    assert_eq!(next.term, 5);
}
