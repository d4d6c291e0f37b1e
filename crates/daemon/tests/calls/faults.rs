//! Bookings through whole nodes while the store, the service and endpoints fail at random points.

use std::time::Duration;

use dandelionroad_standins::server::FaultPlan;
use dandelionroad_standins::server::ServerMode;
use futures_util::future::join_all;

use super::support::CallSystem;
use super::support::CallerReply;
use super::support::TestNode;
use super::support::live_endpoints;

const SEED: u64 = 20_261_204;
const ROUNDS: usize = 8;
const KEYS_PER_ROUND: usize = 6;
const ENDPOINTS: usize = 3;

/// The number of looks at the store's progress, 2 ms apart, before the next fault comes anyway.
const MAX_LOOKS: usize = 100;

struct FaultScript {
    random: u64,
}

impl FaultScript {
    /// Draws a number below `end` with xorshift64*.
    fn draw(&mut self, end: usize) -> usize {
        self.random ^= self.random >> 12;
        self.random ^= self.random << 25;
        self.random ^= self.random >> 27;
        (self.random.wrapping_mul(0x2545_F491_4F6C_DD1D) >> 33) as usize % end
    }

    /// Waits until the store has handled some more requests.
    async fn wait_progress(&mut self, system: &CallSystem) {
        let handled = |system: &CallSystem| {
            let counts = system.table.counts();
            counts.commits + counts.conflicts + counts.reads
        };
        let target = handled(system) + self.draw(16) as u64;
        for _ in 0..MAX_LOOKS {
            if handled(system) >= target {
                return;
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }

    fn apply_fault(&mut self, system: &CallSystem) {
        let count = 1 + self.draw(4) as u32;
        let (table, booking) = (system.table.faults(), system.booking.faults());
        match self.draw(9) {
            0 => table.change(|plan| plan.cut_after = count),
            1 => table.change(|plan| plan.cut_before = count),
            2 => table.set_mode(ServerMode::Down),
            3 => table.set_mode(ServerMode::Frozen),
            4 => booking.change(|plan| plan.cut_after = count),
            5 => booking.change(|plan| plan.cut_before = count),
            6 => booking.change(|plan| plan.crash_after = 1),
            7 => booking.set_mode(ServerMode::Down),
            _ => booking.set_mode(ServerMode::Frozen),
        }
    }

    /// Plays three faults one after the other, at times with the death of an endpoint.
    async fn play(&mut self, system: &CallSystem, doomed: Option<&mut TestNode>) {
        self.wait_progress(system).await;
        self.apply_fault(system);
        if let Some(node) = doomed {
            self.wait_progress(system).await;
            node.kill();
        }
        for _ in 0..2 {
            self.wait_progress(system).await;
            clear_faults(system);
            self.apply_fault(system);
        }
        self.wait_progress(system).await;
        clear_faults(system);
    }
}

fn clear_faults(system: &CallSystem) {
    system.table.faults().set(FaultPlan::default());
    system.booking.faults().set(FaultPlan::default());
}

/// Sends the same booking through both entries at once and then once more.
async fn book_thrice(system: &CallSystem, key: &str) -> Vec<CallerReply> {
    let (first, second) = tokio::join!(system.book(0, key), system.book(1, key));
    let third = system.book(0, key).await;
    vec![first, second, third]
}

/// Guards against a second run of a booking, and against a run of one whose callers were all told
/// `not-run`, whatever fails when.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bookings_run_at_most_once_under_faults() {
    let mut system = CallSystem::start(2, ENDPOINTS).await;
    let mut script = FaultScript { random: SEED };
    let mut told = [0; 3];
    for round in 0..ROUNDS {
        let doomed_index = script.draw(ENDPOINTS);
        let is_doomed = script.draw(2) == 0;
        let mut doomed = is_doomed.then(|| system.endpoints.remove(doomed_index));
        let keys: Vec<String> = (0..KEYS_PER_ROUND)
            .map(|key| format!("k{round}-{key}"))
            .collect();
        let booking = join_all(keys.iter().map(|key| book_thrice(&system, key)));
        let (replies, ()) = tokio::join!(booking, script.play(&system, doomed.as_mut()));
        for (key, replies) in keys.iter().zip(&replies) {
            let last = system.book(1, key).await;
            let runs = system.runs(key);
            assert!(runs <= 1, "{key} ran {runs} times: {replies:?}, {last:?}");
            let all = || replies.iter().chain([&last]);
            if all().all(|reply| reply.outcome == "not-run") {
                assert_eq!(runs, 0, "{key} was refused: {replies:?}, {last:?}");
            }
            let is_booked = all().any(|reply| matches!(reply.status, 200 | 201));
            assert!(
                !is_booked || runs == 1,
                "{key} did not run: {replies:?}, {last:?}"
            );
            assert_ne!(
                last.outcome, "not-run",
                "{key} is refused without a fault: {last:?}"
            );
            for reply in all() {
                told[match reply.outcome.as_str() {
                    "" => 0,
                    "not-run" => 1,
                    _ => 2,
                }] += 1;
            }
        }
        if is_doomed {
            let node = system.start_endpoint(doomed_index).await;
            system.endpoints.insert(doomed_index, node);
            let context = system.entries[0].handle.context.clone();
            system
                .wait("endpoints", || live_endpoints(&context) == ENDPOINTS)
                .await;
        }
    }
    let [booked, not_run, unknown] = told;
    println!("booked {booked}, not-run {not_run}, unknown {unknown}");
    assert!(
        booked > 0 && not_run > 0 && unknown > 0,
        "the faults had no effect: {told:?}"
    );
    assert_eq!(system.booking.max_runs_per_key(), 1);
}
