//! Guards against unfair shares, starvation of lower priority classes, items that start although they
//! can't meet their deadline, and refusals of items that were started.

mod seeded;

use dandelionroad_core::admit::AdmitConfig;
use dandelionroad_core::admit::AdmitItem;
use dandelionroad_core::admit::AdmitQueue;
use dandelionroad_core::admit::StepQueue;
use dandelionroad_core::ident::AccountName;
use dandelionroad_core::ident::RequestIdent;
use dandelionroad_core::outcome::RefusalReason;
use dandelionroad_core::time::MilliTime;

use self::seeded::for_each_seed;

fn item(number: usize, account: &str, units: u64) -> AdmitItem {
    AdmitItem {
        request: RequestIdent::parse(&format!("r{number}")).unwrap(),
        account: AccountName::parse(account).unwrap(),
        weight: 1,
        priority: 0,
        units,
        deadline: MilliTime::MAX,
        is_suspect: false,
    }
}

fn at(millis: u64) -> MilliTime {
    MilliTime::from_millis(millis)
}

/// Runs the queue for some rounds, finishing items as soon as they start; returns the started items.
fn serve(queue: &mut AdmitQueue, rounds: usize) -> Vec<AdmitItem> {
    let mut started = Vec::new();
    for round in 0..rounds {
        let now = at(round as u64);
        let batch = queue.poll(now);
        assert!(batch.refused.is_empty());
        for item in &batch.started {
            queue.finish(&item.request, now);
        }
        started.extend(batch.started);
    }
    started
}

/// Queues items of two accounts with random weights and costs: both get work in proportion to their
/// weights.
#[test]
fn admit_queue_shares_by_weight() {
    for_each_seed(100, |(left, right, sizes): &(u8, u8, Vec<u8>)| {
        let weights = [u32::from(left % 4) + 1, u32::from(right % 4) + 1];
        let mut queue = AdmitQueue::new(AdmitConfig::new(1_000_000, 1, 1_000));
        for number in 0..400 {
            let side = number % 2;
            let size = sizes.get(number % sizes.len().max(1)).copied().unwrap_or(9);
            let mut item = item(number, ["large", "small"][side], u64::from(size) + 1);
            item.weight = weights[side];
            assert!(queue.offer(item, at(0)).is_empty());
        }
        let started = serve(&mut queue, 80);
        let share = |account: &str, weight: u32| {
            let own = started
                .iter()
                .filter(|item| item.account.as_str() == account);
            own.map(|item| item.units).sum::<u64>() as f64 / f64::from(weight)
        };
        let difference = share("large", weights[0]) - share("small", weights[1]);
        // The bound of start-time fair queuing: one item of the maximum cost for each account.
        assert!(difference.abs() <= 512.0, "{difference} with {weights:?}");
    });
}

/// Mixes arrivals, completions and cancellations at random: an item is started or refused, never both.
#[test]
fn admit_queue_never_refuses_started_item() {
    for_each_seed(200, |steps: &Vec<(u8, u8, u8)>| {
        let mut queue = AdmitQueue::new(AdmitConfig::new(300, 3, 1_000));
        let mut started: Vec<RequestIdent> = Vec::new();
        let mut refused: Vec<RequestIdent> = Vec::new();
        let mut cancelled = 0;
        for (number, (kind, size, slack)) in steps.iter().enumerate() {
            let now = at(number as u64 * 20);
            match kind % 4 {
                0 | 1 => {
                    let account = ["a", "b", "c"][usize::from(size % 3)];
                    let mut item = item(number, account, u64::from(*size) + 1);
                    item.priority = slack % 2;
                    item.is_suspect = size % 7 == 0;
                    item.deadline = now.plus(u64::from(*slack) * 20);
                    let refusals = queue.offer(item, now);
                    refused.extend(refusals.into_iter().map(|refusal| refusal.request));
                }
                2 => {
                    let first = queue.running().next().cloned();
                    first.iter().for_each(|request| queue.finish(request, now));
                }
                _ => {
                    let request = RequestIdent::parse(&format!("r{size}")).unwrap();
                    let queued_units = queue.load().queued_units;
                    queue.cancel(&request);
                    cancelled += usize::from(queue.load().queued_units < queued_units);
                }
            }
            let batch = queue.poll(now);
            refused.extend(batch.refused.into_iter().map(|refusal| refusal.request));
            started.extend(batch.started.into_iter().map(|item| item.request));
        }
        assert!(started.iter().all(|request| !refused.contains(request)));
        let offered = steps.iter().filter(|(kind, _, _)| kind % 4 < 2).count();
        assert!(started.len() + refused.len() + cancelled <= offered);
    });
}

/// Guards against an item that waits although the work ahead of it makes it late.
#[test]
fn admit_queue_refuses_late_work_early() {
    let mut queue = AdmitQueue::new(AdmitConfig::new(100_000, 1, 1_000));
    queue.offer(item(0, "a", 1_000), at(0));
    queue.poll(at(0));
    let mut late = item(1, "a", 1_000);
    late.deadline = at(1_500);
    let refusals = queue.offer(late, at(0));
    assert_eq!(refusals[0].reason, RefusalReason::Deadline);
}

/// Guards against an item that starts too late because the items ahead of it took longer than expected.
#[test]
fn admit_queue_refuses_late_work_at_its_turn() {
    let mut queue = AdmitQueue::new(AdmitConfig::new(100_000, 2, 1_000));
    queue.offer(item(0, "a", 100), at(0));
    queue.offer(item(1, "a", 100), at(0));
    let first = queue.poll(at(0)).started[0].request.clone();
    let mut late = item(2, "a", 100);
    late.deadline = at(700);
    assert!(queue.offer(late, at(0)).is_empty());
    queue.cancel(&first);
    let batch = queue.poll(at(600));
    assert_eq!(batch.refused[0].reason, RefusalReason::Deadline);
    assert!(batch.started.is_empty());
}

/// Guards against a flood from one account that fills the queue and keeps other accounts out.
#[test]
fn admit_queue_evicts_from_largest_backlog() {
    let mut queue = AdmitQueue::new(AdmitConfig::new(1_000, 1, 1_000));
    for number in 0..20 {
        queue.offer(item(number, "large", 50), at(0));
    }
    let refusals = queue.offer(item(20, "small", 50), at(0));
    assert_eq!(refusals.len(), 1);
    assert_eq!(refusals[0].request.as_str(), "r19");
    assert_eq!(refusals[0].reason, RefusalReason::Overloaded);
}

/// Guards against a lower priority class that starves while a higher class always has items waiting.
#[test]
fn admit_queue_serves_lower_class_its_share() {
    let mut queue = AdmitQueue::new(AdmitConfig::new(1_000_000, 1, 1_000));
    for number in 0..400 {
        let mut item = item(number, ["a", "b"][number % 2], 10);
        item.priority = u8::from(number % 2 == 1);
        queue.offer(item, at(0));
    }
    let started = serve(&mut queue, 200);
    let lower = started.iter().filter(|item| item.priority == 1).count();
    assert!(
        (15..=25).contains(&lower),
        "{lower} of 200 items were of the lower class, expected 15 to 25"
    );
}

/// Guards against two suspects on one endpoint: after a crash, it is unknown which one caused it.
#[test]
fn admit_queue_runs_one_suspect_at_a_time() {
    let mut queue = AdmitQueue::new(AdmitConfig::new(1_000, 4, 1_000));
    for number in 0..3 {
        let mut item = item(number, "a", 1);
        item.is_suspect = number < 2;
        queue.offer(item, at(0));
    }
    let started = queue.poll(at(0)).started;
    assert_eq!(started.iter().filter(|item| item.is_suspect).count(), 1);
    assert_eq!(started.len(), 2);
    let suspect = started.iter().find(|item| item.is_suspect).unwrap();
    queue.finish(&suspect.request, at(1));
    assert!(queue.poll(at(1)).started[0].is_suspect);
}

/// Guards against an idle endpoint that refuses every item because earlier items ran slowly.
#[test]
fn admit_queue_recovers_from_slow_items() {
    let mut queue = AdmitQueue::new(AdmitConfig::new(100_000, 4, 1_000));
    queue.offer(item(0, "a", 10), at(0));
    let first = queue.poll(at(0)).started[0].request.clone();
    queue.finish(&first, at(60_000));
    let mut next = item(1, "a", 10);
    next.deadline = at(60_500);
    assert!(queue.offer(next, at(60_000)).is_empty());
    assert_eq!(queue.poll(at(60_000)).started.len(), 1);
}

/// Guards against items of a slow account that are admitted although they will miss their deadline,
/// because their service time is estimated from the items of a faster account.
#[test]
fn admit_queue_estimates_service_time_by_account() {
    let mut queue = AdmitQueue::new(AdmitConfig::new(100_000, 10, 10_000));
    let accounts = ["quick", "slow"];
    for (number, account) in accounts.iter().enumerate() {
        // An item that keeps running keeps the state of its account in the queue.
        queue.offer(item(1_000 + number, account, 1), at(0));
    }
    queue.poll(at(0));
    for number in 0..40 {
        let start = number as u64 * 2_000;
        queue.offer(item(number, accounts[number % 2], 100), at(start));
        let started = queue.poll(at(start)).started;
        let time_ms = [10, 1_000][number % 2];
        queue.finish(&started[0].request, at(start + time_ms));
    }
    let refusals = accounts.map(|account| {
        let mut item = item(9_999, account, 100);
        item.deadline = at(80_000 + 1_200);
        queue.offer(item, at(80_000)).len()
    });
    assert_eq!(refusals, [0, 1]);
}

/// Guards against a large account that occupies every slot when a small one arrives.
#[test]
fn admit_queue_reserves_slots_for_idle_accounts() {
    let mut queue = AdmitQueue::new(AdmitConfig::new(10_000, 8, 1_000));
    for number in 0..20 {
        queue.offer(item(number, "large", 10), at(0));
    }
    assert_eq!(queue.poll(at(0)).started.len(), 6);
    queue.offer(item(20, "small", 10), at(1));
    let started = queue.poll(at(1)).started;
    assert_eq!(started[0].account.as_str(), "small");
}

/// Guards against a small account whose steps wait behind those of a large one, and against a large
/// account that starves.
#[test]
fn step_queue_serves_light_accounts_first_without_starving() {
    let [large, small] = ["large", "small"].map(|name| AccountName::parse(name).unwrap());
    let mut queue = StepQueue::new(10_000);
    (0..50).for_each(|_| queue.push(&large, 1, 8, "large"));
    queue.push(&small, 1, 8, "small");
    assert_eq!(queue.pop(), Some("small"));
    let mut order = Vec::new();
    for _ in 0..200 {
        queue.push(&small, 1, 8, "small");
        order.extend(queue.pop());
    }
    let smalls = order.iter().filter(|name| **name == "small").count();
    assert!(
        (40..=160).contains(&smalls),
        "{smalls} of 200 steps were of the small account, expected 40 to 160"
    );
}
