use crate::time::MilliTime;

/// The weight of a new observation in the moving average of the time between two frees.
const OBSERVATION_WEIGHT: f64 = 0.125;

/// The time between two frees that is assumed before any was seen, in milliseconds.
const FIRST_INTERVAL_MS: f64 = 50.0;

/// The least time after which a refused caller is asked to return, in milliseconds.
const LEAST_RETRY_MS: u64 = 500;

/// The greatest time after which a refused caller is asked to return, in milliseconds.
///
/// Callers that wait 20 s in all follow a request to return within a third of that.
const MOST_RETRY_MS: u64 = 6_000;

/// The time between the returns of two refused callers, as a factor of the time between two frees.
///
/// Callers that return take a quarter of the room that becomes free; the rest is for new ones. If all
/// returned after the same time, most of them would be refused again.
const RETURN_FACTOR: f64 = 4.0;

/// A request that waits.
#[derive(Clone, Copy, Debug)]
struct RoomTicket {
    priority: u8,
    /// The round of turns in which it is served, if each account has one request in each.
    turn: u64,
    number: u64,
}

/// An account that waited lately, and the turn of its newest request.
#[derive(Clone, Copy, Debug)]
struct AccountTurn {
    account: u64,
    turn: u64,
}

/// Requests that wait for room at the engines: a short burst, or the loss of an engine.
///
/// A request waits only if its turn is expected before the first event would be late; otherwise it is
/// refused at once with the time at which room is expected. The more urgent go first; among these,
/// client accounts take turns, so that the surge of a large account does not make the small ones wait
/// behind all of it. A large request at the head is not overtaken, or small ones would starve it.
///
/// # Example
///
/// ```
/// use dandelionroad_core::relay::CapacityQueue;
/// use dandelionroad_core::time::MilliTime;
///
/// let mut queue = CapacityQueue::new();
/// let now = MilliTime::from_millis(0);
/// let late = queue.offer(2, 7, 300).unwrap();
/// let later = queue.offer(2, 7, 300).unwrap();
/// let other = queue.offer(2, 8, 300).unwrap();
/// let urgent = queue.offer(1, 7, 300).unwrap();
/// for number in [urgent, late, other, later] {
///     assert_eq!(queue.first(), Some(number));
///     queue.remove(number);
/// }
/// // With room freed each 200 ms, a second one would wait for too long.
/// for step in 0..50 {
///     queue.record_release(now.plus(step * 200));
/// }
/// assert!(queue.offer(2, 7, 300).is_some());
/// assert_eq!(queue.offer(2, 8, 300), None);
/// // Callers are asked to return one after the other.
/// assert!(queue.retry_after_ms(now) < queue.retry_after_ms(now));
/// ```
#[derive(Clone, Debug)]
pub struct CapacityQueue {
    /// Sorted by priority, turn and number.
    waiting: Vec<RoomTicket>,
    /// The accounts whose newest turn lies ahead, sorted by account.
    turns: Vec<AccountTurn>,
    /// The turn that is served now.
    turn: u64,
    next_number: u64,
    interval_ms: f64,
    last_freed: Option<MilliTime>,
    /// When the next refused caller is asked to return.
    next_return: MilliTime,
}

impl CapacityQueue {
    /// Creates an empty queue.
    pub fn new() -> CapacityQueue {
        CapacityQueue {
            waiting: Vec::new(),
            turns: Vec::new(),
            turn: 0,
            next_number: 0,
            interval_ms: FIRST_INTERVAL_MS,
            last_freed: None,
            next_return: MilliTime::default(),
        }
    }

    /// Adds a request of a client account that can wait for `max_wait_ms`; returns its number, or none if
    /// its turn is expected later.
    pub fn offer(&mut self, priority: u8, account: u64, max_wait_ms: u64) -> Option<u64> {
        let known = self
            .turns
            .binary_search_by_key(&account, |turn| turn.account);
        let newest = known.map_or(self.turn, |index| self.turns[index].turn);
        let turn = newest.max(self.turn) + 1;
        let position = self
            .waiting
            .partition_point(|ticket| (ticket.priority, ticket.turn) <= (priority, turn));
        let expected_ms = (position + 1) as f64 * self.interval_ms;
        if expected_ms > max_wait_ms as f64 {
            return None;
        }
        let number = self.next_number;
        self.next_number += 1;
        let ticket = RoomTicket {
            priority,
            turn,
            number,
        };
        self.waiting.insert(position, ticket);
        match known {
            Ok(index) => self.turns[index].turn = turn,
            Err(index) => self.turns.insert(index, AccountTurn { account, turn }),
        }
        Some(number)
    }

    /// Returns when a refused caller should return, in milliseconds; each one later than the one
    /// before, by the pace at which room becomes free.
    pub fn retry_after_ms(&mut self, now: MilliTime) -> u64 {
        let earliest = now.plus(LEAST_RETRY_MS);
        let latest = now.plus(MOST_RETRY_MS);
        let time = self.next_return.clamp(earliest, latest);
        let step_ms = (self.interval_ms * RETURN_FACTOR).max(1.0);
        self.next_return = time.plus(step_ms as u64).min(latest);
        time.since(now)
    }

    /// Removes a request that has found room or gives up.
    pub fn remove(&mut self, number: u64) {
        self.waiting.retain(|ticket| ticket.number != number);
        let least = self.waiting.iter().map(|ticket| ticket.turn).min();
        match least {
            Some(least) => {
                self.turn = self.turn.max(least - 1);
                let served = self.turn;
                self.turns.retain(|turn| turn.turn > served);
            }
            // Nobody waits: what accounts used before counts no longer.
            None => self.turns.clear(),
        }
    }

    /// Returns the number of the request whose turn it is.
    pub fn first(&self) -> Option<u64> {
        self.waiting.first().map(|ticket| ticket.number)
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Takes the end of a request, which frees its room.
    pub fn record_release(&mut self, now: MilliTime) {
        if let Some(last) = self.last_freed {
            let seen = now.since(last) as f64;
            self.interval_ms += (seen - self.interval_ms) * OBSERVATION_WEIGHT;
        }
        self.last_freed = Some(now);
    }
}

impl Default for CapacityQueue {
    fn default() -> CapacityQueue {
        CapacityQueue::new()
    }
}
