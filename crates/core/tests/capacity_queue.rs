//! Guards against accounts that wait behind the burst of another account, and against accounts that
//! are charged for requests of an earlier busy period.

use dandelionroad_core::relay::CapacityQueue;
use dandelionroad_core::time::MilliTime;

/// The identifiers of the client accounts.
const LARGE_ACCOUNT: u64 = 1;
const SMALL_ACCOUNT: u64 = 2;

/// Returns a queue that has observed a release each millisecond, so that expected waits are short.
fn quick_queue() -> CapacityQueue {
    let mut queue = CapacityQueue::new();
    for millis in 0..200 {
        queue.record_release(MilliTime::from_millis(millis));
    }
    queue
}

/// Removes and returns the request at the head.
fn serve(queue: &mut CapacityQueue) -> u64 {
    let number = queue.first().unwrap();
    queue.remove(number);
    number
}

/// Guards against a small account that waits behind all requests of a large account's burst.
#[test]
fn offer_small_account_in_burst() {
    let mut queue = quick_queue();
    for _ in 0..40 {
        queue.offer(1, LARGE_ACCOUNT, 250).unwrap();
    }
    let small = queue.offer(1, SMALL_ACCOUNT, 250).unwrap();
    let served: Vec<u64> = (0..3).map(|_| serve(&mut queue)).collect();
    assert!(served.contains(&small), "{served:?}");
}

/// Guards against an account whose queued requests are served one after another while another
/// account waits.
#[test]
fn offer_accounts_alternate() {
    let mut queue = quick_queue();
    let large: Vec<u64> = (0..10)
        .map(|_| queue.offer(1, LARGE_ACCOUNT, 250).unwrap())
        .collect();
    let small: Vec<u64> = (0..10)
        .map(|_| queue.offer(1, SMALL_ACCOUNT, 250).unwrap())
        .collect();
    for turn in 0..10 {
        let served = [serve(&mut queue), serve(&mut queue)];
        assert!(served.contains(&large[turn]) && served.contains(&small[turn]));
    }
}

/// Guards against an account that is delayed because of requests that it sent while no other
/// account waited.
#[test]
fn offer_after_empty_queue() {
    let mut queue = quick_queue();
    for _ in 0..30 {
        queue.offer(1, LARGE_ACCOUNT, 250).unwrap();
    }
    while queue.first().is_some() {
        serve(&mut queue);
    }
    let large = queue.offer(1, LARGE_ACCOUNT, 250).unwrap();
    queue.offer(1, SMALL_ACCOUNT, 250).unwrap();
    assert_eq!(queue.first(), Some(large));
}

/// Guards against an urgent request that waits behind less urgent ones.
#[test]
fn offer_urgent_first() {
    let mut queue = quick_queue();
    queue.offer(2, SMALL_ACCOUNT, 250).unwrap();
    queue.offer(1, LARGE_ACCOUNT, 250).unwrap();
    let urgent = queue.offer(0, LARGE_ACCOUNT, 250).unwrap();
    assert_eq!(serve(&mut queue), urgent);
}
