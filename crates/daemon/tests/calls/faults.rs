//! Bookings through complete nodes while the table service, the booking service and endpoints fail
//! at random times.

use std::time::Duration;

use dandelionroad_standins::server::FaultPlan;
use dandelionroad_standins::server::ServerMode;
use futures_util::future::join_all;

use super::support::CallCluster;
use super::support::CallerReply;
use super::support::TestNode;
use super::support::live_endpoint_count;

const SEED: u64 = 20_261_204;
const ROUNDS: usize = 8;
const KEYS_PER_ROUND: usize = 6;
const ENDPOINTS: usize = 3;

/// The maximum number of checks of the table service's progress, 2 ms apart, before the next fault
/// is injected regardless.
const MAX_PROGRESS_POLLS: usize = 100;

struct FaultInjector {
    random: u64,
}

impl FaultInjector {
    /// Returns a random number below `end`, generated with xorshift64*.
    fn random_below(&mut self, end: usize) -> usize {
        self.random ^= self.random >> 12;
        self.random ^= self.random << 25;
        self.random ^= self.random >> 27;
        (self.random.wrapping_mul(0x2545_F491_4F6C_DD1D) >> 33) as usize % end
    }

    /// Waits until the table service has handled up to 15 more requests, a random number.
    async fn wait_for_store_requests(&mut self, cluster: &CallCluster) {
        let handled = |cluster: &CallCluster| {
            let counts = cluster.table.counts();
            counts.commits + counts.conflicts + counts.reads
        };
        let target = handled(cluster) + self.random_below(16) as u64;
        for _ in 0..MAX_PROGRESS_POLLS {
            if handled(cluster) >= target {
                return;
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }

    fn apply_fault(&mut self, cluster: &CallCluster) {
        let count = 1 + self.random_below(4) as u32;
        let (table, booking) = (cluster.table.faults(), cluster.booking.faults());
        match self.random_below(9) {
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

    /// Injects three faults one after the other, and kills the endpoint `victim`, if any, during
    /// the first one.
    async fn inject_faults(&mut self, cluster: &CallCluster, victim: Option<&mut TestNode>) {
        self.wait_for_store_requests(cluster).await;
        self.apply_fault(cluster);
        if let Some(node) = victim {
            self.wait_for_store_requests(cluster).await;
            node.kill();
        }
        for _ in 0..2 {
            self.wait_for_store_requests(cluster).await;
            clear_faults(cluster);
            self.apply_fault(cluster);
        }
        self.wait_for_store_requests(cluster).await;
        clear_faults(cluster);
    }
}

fn clear_faults(cluster: &CallCluster) {
    cluster.table.faults().set(FaultPlan::default());
    cluster.booking.faults().set(FaultPlan::default());
}

/// Sends the same booking through both entries concurrently, and then again through the first
/// entry.
async fn book_three_times(cluster: &CallCluster, key: &str) -> Vec<CallerReply> {
    let (first, second) = tokio::join!(cluster.book(0, key), cluster.book(1, key));
    let third = cluster.book(0, key).await;
    vec![first, second, third]
}

/// Guards against a booking that runs twice, and against one that runs although every caller got
/// `not-run`.
///
/// Either can happen if a connection, a process or the table service fails between the steps of a
/// call, so faults are injected at random steps while several callers repeat the same bookings.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bookings_run_at_most_once_under_faults() {
    let mut cluster = CallCluster::start(2, ENDPOINTS).await;
    let mut injector = FaultInjector { random: SEED };
    let mut outcome_counts = [0; 3];
    for round in 0..ROUNDS {
        let victim_index = injector.random_below(ENDPOINTS);
        let has_victim = injector.random_below(2) == 0;
        let mut victim = has_victim.then(|| cluster.endpoints.remove(victim_index));
        let keys: Vec<String> = (0..KEYS_PER_ROUND)
            .map(|key| format!("k{round}-{key}"))
            .collect();
        let booking = join_all(keys.iter().map(|key| book_three_times(&cluster, key)));
        let (replies, ()) =
            tokio::join!(booking, injector.inject_faults(&cluster, victim.as_mut()));
        for (key, replies) in keys.iter().zip(&replies) {
            let last = cluster.book(1, key).await;
            let runs = cluster.run_count(key);
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
                outcome_counts[match reply.outcome.as_str() {
                    "" => 0,
                    "not-run" => 1,
                    _ => 2,
                }] += 1;
            }
        }
        if has_victim {
            let node = cluster.start_endpoint(victim_index).await;
            cluster.endpoints.insert(victim_index, node);
            let context = cluster.entries[0].handle.context.clone();
            cluster
                .wait_for("endpoints", || live_endpoint_count(&context) == ENDPOINTS)
                .await;
        }
    }
    let [booked, not_run, unknown] = outcome_counts;
    println!("booked {booked}, not-run {not_run}, unknown {unknown}");
    assert!(
        booked > 0 && not_run > 0 && unknown > 0,
        "the faults had no effect: {outcome_counts:?}"
    );
    assert_eq!(cluster.booking.max_runs_per_key(), 1);
}
