//! Guards against accounts that wait behind the burst of another account, and against accounts that
//! are charged for requests of an earlier busy period.

use dandelionroad_core::relay::CapacityQueue;
use dandelionroad_core::time::MilliTime;

/// The identifier of a service.
const SERVICE: u64 = 7;

/// The identifiers of the client accounts.
const LARGE_ACCOUNT: u64 = 1;
const SMALL_ACCOUNT: u64 = 2;

/// More than the number of requests in any of these queues.
const MAX_NUMBER: u64 = 100;

/// Returns a queue that has observed a release each millisecond, so that expected waits are short.
fn quick_queue() -> CapacityQueue {
    let mut queue = CapacityQueue::new();
    for millis in 0..200 {
        queue.record_release(MilliTime::from_millis(millis));
    }
    queue
}

/// Removes and returns the request whose turn it is.
fn serve(queue: &mut CapacityQueue) -> u64 {
    serve_next(queue).unwrap()
}

fn serve_next(queue: &mut CapacityQueue) -> Option<u64> {
    let number = (0..MAX_NUMBER).find(|number| queue.is_turn(*number))?;
    queue.remove(number);
    Some(number)
}

/// Guards against a small account that waits behind all requests of a large account's burst.
#[test]
fn offer_small_account_in_burst() {
    let mut queue = quick_queue();
    for _ in 0..40 {
        queue.offer(SERVICE, 1, LARGE_ACCOUNT, 250).unwrap();
    }
    let small = queue.offer(SERVICE, 1, SMALL_ACCOUNT, 250).unwrap();
    let served: Vec<u64> = (0..3).map(|_| serve(&mut queue)).collect();
    assert!(served.contains(&small), "{served:?}");
}

/// Guards against an account whose queued requests are served one after another while another
/// account waits.
#[test]
fn offer_accounts_alternate() {
    let mut queue = quick_queue();
    let large: Vec<u64> = (0..10)
        .map(|_| queue.offer(SERVICE, 1, LARGE_ACCOUNT, 250).unwrap())
        .collect();
    let small: Vec<u64> = (0..10)
        .map(|_| queue.offer(SERVICE, 1, SMALL_ACCOUNT, 250).unwrap())
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
        queue.offer(SERVICE, 1, LARGE_ACCOUNT, 250).unwrap();
    }
    while serve_next(&mut queue).is_some() {}
    let large = queue.offer(SERVICE, 1, LARGE_ACCOUNT, 250).unwrap();
    queue.offer(SERVICE, 1, SMALL_ACCOUNT, 250).unwrap();
    assert!(queue.is_turn(large));
}

/// Guards against an urgent request that waits behind less urgent ones.
#[test]
fn offer_urgent_first() {
    let mut queue = quick_queue();
    queue.offer(SERVICE, 2, SMALL_ACCOUNT, 250).unwrap();
    queue.offer(SERVICE, 1, LARGE_ACCOUNT, 250).unwrap();
    let urgent = queue.offer(SERVICE, 0, LARGE_ACCOUNT, 250).unwrap();
    assert_eq!(serve(&mut queue), urgent);
}

/// Guards against requests that wait behind one that engines have refused, although others take them.
#[test]
fn is_turn_behind_passable_request() {
    let mut queue = quick_queue();
    let refused = queue.offer(SERVICE, 0, LARGE_ACCOUNT, 250).unwrap();
    let behind = queue.offer(SERVICE, 1, SMALL_ACCOUNT, 250).unwrap();
    assert!(!queue.is_turn(behind));
    assert!(queue.set_passable(refused, true));
    assert!(!queue.set_passable(refused, true), "it is known");
    assert!(queue.is_turn(behind) && queue.is_turn(refused));
    queue.remove(behind);
    assert!(!queue.holds_up(SERVICE));
    // Its reason is shared by now.
    assert!(!queue.set_passable(refused, false));
    assert!(queue.holds_up(SERVICE));
}

/// Guards against requests that wait for the engines of one service behind those of another.
#[test]
fn is_turn_of_other_service() {
    let mut queue = CapacityQueue::new();
    for _ in 0..5 {
        queue.offer(SERVICE, 0, LARGE_ACCOUNT, 250).unwrap();
    }
    assert!(!queue.holds_up(SERVICE + 1));
    let other = queue.offer(SERVICE + 1, 1, SMALL_ACCOUNT, 250).unwrap();
    assert!(queue.is_turn(other));
}
