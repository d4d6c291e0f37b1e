use crate::time::MilliTime;

/// The weight of a new observation in the moving average of the time between two frees.
const OBSERVATION_WEIGHT: f64 = 0.125;

/// The time between two frees that is assumed before any was seen, in milliseconds.
const FIRST_INTERVAL_MS: f64 = 50.0;

/// The least time after which a refused caller is asked to return, in milliseconds.
const LEAST_RETRY_MS: u64 = 250;

/// The greatest time after which a refused caller is asked to return, in milliseconds.
const MOST_RETRY_MS: u64 = 5_000;

/// A request that waits.
#[derive(Clone, Copy, Debug)]
struct RoomTicket {
    priority: u8,
    number: u64,
}

/// Requests that wait for room at the engines: a short burst, or the loss of an engine.
///
/// A request waits only if its turn is expected before the first event would be late; otherwise it is
/// refused at once with the time at which room is expected. The more urgent go first, then the
/// earlier. A large request at the head is not overtaken, or small ones would starve it.
///
/// # Example
///
/// ```
/// use dandelionroad_core::relay::RoomQueue;
/// use dandelionroad_core::time::MilliTime;
///
/// let mut queue = RoomQueue::new();
/// let now = MilliTime::from_millis(0);
/// let late = queue.offer(2, 300).unwrap();
/// let urgent = queue.offer(1, 300).unwrap();
/// assert_eq!(queue.first(), Some(urgent));
/// queue.leave(urgent);
/// assert_eq!(queue.first(), Some(late));
/// // With room freed each 200 ms, a second one would wait for too long.
/// for step in 0..50 {
///     queue.freed(now.plus(step * 200));
/// }
/// assert!(queue.offer(1, 300).is_err_and(|retry_ms| retry_ms >= 250));
/// ```
#[derive(Clone, Debug)]
pub struct RoomQueue {
    /// Sorted by priority and number.
    waiting: Vec<RoomTicket>,
    next_number: u64,
    interval_ms: f64,
    last_freed: Option<MilliTime>,
}

impl RoomQueue {
    /// Creates an empty queue.
    pub fn new() -> RoomQueue {
        RoomQueue {
            waiting: Vec::new(),
            next_number: 0,
            interval_ms: FIRST_INTERVAL_MS,
            last_freed: None,
        }
    }

    /// Adds a request that can wait for `most_ms`; returns its number.
    ///
    /// # Errors
    ///
    /// Returns the time after which its caller should return, in milliseconds, if its turn is
    /// expected later.
    pub fn offer(&mut self, priority: u8, most_ms: u64) -> Result<u64, u64> {
        let position = self
            .waiting
            .partition_point(|ticket| ticket.priority <= priority);
        let expected_ms = self.expected_ms(position);
        if expected_ms > most_ms {
            return Err(expected_ms.clamp(LEAST_RETRY_MS, MOST_RETRY_MS));
        }
        let number = self.next_number;
        self.next_number += 1;
        self.waiting
            .insert(position, RoomTicket { priority, number });
        Ok(number)
    }

    /// Returns when a caller should return that gave up waiting, in milliseconds.
    pub fn retry_after_ms(&self) -> u64 {
        self.expected_ms(self.waiting.len())
            .clamp(LEAST_RETRY_MS, MOST_RETRY_MS)
    }

    /// Removes a request that has found room or gives up.
    pub fn leave(&mut self, number: u64) {
        self.waiting.retain(|ticket| ticket.number != number);
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
    pub fn freed(&mut self, now: MilliTime) {
        if let Some(last) = self.last_freed {
            let seen = now.since(last) as f64;
            self.interval_ms += (seen - self.interval_ms) * OBSERVATION_WEIGHT;
        }
        self.last_freed = Some(now);
    }

    fn expected_ms(&self, position: usize) -> u64 {
        ((position + 1) as f64 * self.interval_ms) as u64
    }
}

impl Default for RoomQueue {
    fn default() -> RoomQueue {
        RoomQueue::new()
    }
}
