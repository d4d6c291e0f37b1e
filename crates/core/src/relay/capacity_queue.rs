use crate::time::MilliTime;

/// The weight of a new observation in the moving average of the time between two releases.
const OBSERVATION_WEIGHT: f64 = 0.125;

/// The assumed time between two releases of KV memory before any was observed, in milliseconds.
const INITIAL_INTERVAL_MS: f64 = 50.0;

/// The assumed time for which a request runs before any was observed, in milliseconds.
const INITIAL_RUN_MS: f64 = 2_000.0;

/// The minimum time after which a refused caller is asked to retry, in milliseconds.
const MIN_RETRY_MS: u64 = 500;

/// The maximum time after which a refused caller is asked to retry, in milliseconds.
///
/// A caller with a total time limit of 20 s complies with retry times of up to a third of the limit,
/// 6.6 s.
const MAX_RETRY_MS: u64 = 6_000;

/// The time between the retries of two refused callers, as a multiple of the time between two
/// releases.
///
/// At this factor, retries use a quarter of the released memory and leave the rest to new requests.
/// If all refused callers retried after the same time, most of them would be refused again.
const RETRY_SPACING_FACTOR: f64 = 4.0;

#[derive(Clone, Copy, Debug)]
struct QueuedRequest {
    /// The service whose engines it waits for.
    service: u64,
    priority: u8,
    /// The fair-queueing round in which it is served; each account has one request in each round.
    round: u64,
    /// The work by which requests of one priority and round are ordered, the smallest first; 0 if they are not.
    tokens: f64,
    number: u64,
    /// Whether it waits for a reason of its own, so that others may be served before it.
    is_passable: bool,
}

/// An account with a recent request and the round of its newest request.
#[derive(Clone, Copy, Debug)]
struct AccountRound {
    account: u64,
    round: u64,
}

/// Queues requests while engines lack free KV memory, as in a short burst or after the loss of an
/// engine.
///
/// A request is queued only if it is expected to be served before its first event would be late;
/// otherwise it is refused at once with the time at which memory is expected. Requests are served
/// by priority and, within a priority, by fair-queueing rounds with one request of each client
/// account, so that the burst of a large account does not delay small accounts by its whole length.
/// A large request at the head is not overtaken, as small ones would starve it. One that waits for a reason of
/// its own, such as engines that have refused it, holds up no others, and neither does one of another service.
///
/// # Example
///
/// ```
/// use dandelionroad_core::relay::CapacityQueue;
/// use dandelionroad_core::time::MilliTime;
///
/// let mut queue = CapacityQueue::new();
/// let now = MilliTime::from_millis(0);
/// let service = 1;
/// let late = queue.offer(service, 2, 7, 300).unwrap();
/// let later = queue.offer(service, 2, 7, 300).unwrap();
/// let other = queue.offer(service, 2, 8, 300).unwrap();
/// let urgent = queue.offer(service, 1, 7, 300).unwrap();
/// for number in [urgent, late, other, later] {
///     assert!(queue.is_turn(number));
///     queue.remove(number);
/// }
/// // With a release every 200 ms, a second request would wait for too long.
/// for step in 0..50 {
///     queue.record_release(now.plus(step * 200));
/// }
/// assert!(queue.offer(service, 2, 7, 300).is_some());
/// assert_eq!(queue.offer(service, 2, 8, 300), None);
/// // Refused callers get successive retry times.
/// assert!(queue.retry_after_ms(now) < queue.retry_after_ms(now));
/// ```
#[derive(Clone, Debug)]
pub struct CapacityQueue {
    /// Sorted by priority, round and number.
    waiting: Vec<QueuedRequest>,
    /// The accounts whose newest round is not completed, sorted by account.
    account_rounds: Vec<AccountRound>,
    /// The newest completed fair-queueing round: all queued requests belong to later rounds.
    completed_round: u64,
    next_number: u64,
    /// The moving average of the time between two releases, in milliseconds.
    interval_ms: f64,
    last_release: Option<MilliTime>,
    /// The moving average of the time for which a request runs, in milliseconds.
    run_ms: f64,
    /// The time at which the next refused caller is asked to retry.
    next_retry: MilliTime,
}

impl CapacityQueue {
    /// Creates an empty queue.
    pub fn new() -> CapacityQueue {
        CapacityQueue {
            waiting: Vec::new(),
            account_rounds: Vec::new(),
            completed_round: 0,
            next_number: 0,
            interval_ms: INITIAL_INTERVAL_MS,
            last_release: None,
            run_ms: INITIAL_RUN_MS,
            next_retry: MilliTime::default(),
        }
    }

    /// Adds a request of a client account that can wait for the engines of `service` for `max_wait_ms`; returns its
    /// number, or `None` if its expected wait is longer.
    pub fn offer(
        &mut self,
        service: u64,
        priority: u8,
        account: u64,
        max_wait_ms: u64,
    ) -> Option<u64> {
        let round = self.next_round(account);
        let position = self
            .waiting
            .partition_point(|queued| (queued.priority, queued.round) <= (priority, round));
        let ahead = self.waiting[..position]
            .iter()
            .filter(|queued| queued.holds_up(service));
        let expected_ms = (ahead.count() + 1) as f64 * self.interval_ms;
        if expected_ms > max_wait_ms as f64 {
            return None;
        }
        Some(self.add(service, priority, account, 0.0))
    }

    /// Adds a request whose wait was decided on already; returns its number.
    ///
    /// Requests of one priority and fair-queueing round are ordered by `tokens`, the smallest first, so that each of them
    /// waits for the least work of others. A large request is overtaken within its round only.
    pub fn add(&mut self, service: u64, priority: u8, account: u64, tokens: f64) -> u64 {
        let round = self.next_round(account);
        let position = self.waiting.partition_point(|queued| {
            let order = (queued.priority, queued.round).cmp(&(priority, round));
            order.then(queued.tokens.total_cmp(&tokens)).is_le()
        });
        let number = self.next_number;
        self.next_number += 1;
        let queued = QueuedRequest {
            service,
            priority,
            round,
            tokens,
            number,
            is_passable: false,
        };
        self.waiting.insert(position, queued);
        let known = self
            .account_rounds
            .binary_search_by_key(&account, |entry| entry.account);
        match known {
            Ok(index) => self.account_rounds[index].round = round,
            Err(index) => self
                .account_rounds
                .insert(index, AccountRound { account, round }),
        }
        number
    }

    /// Returns the round of the next request of an account.
    fn next_round(&self, account: u64) -> u64 {
        let known = self
            .account_rounds
            .binary_search_by_key(&account, |entry| entry.account);
        let newest = known.map_or(self.completed_round, |index| {
            self.account_rounds[index].round
        });
        newest.max(self.completed_round) + 1
    }

    /// Returns the work of the waiting requests of a service that are at least as urgent, in tokens.
    pub fn tokens_ahead(&self, service: u64, priority: u8) -> f64 {
        let ahead = self
            .waiting
            .iter()
            .filter(|queued| queued.holds_up(service) && queued.priority <= priority);
        ahead.map(|queued| queued.tokens).sum()
    }

    /// Returns the work of the waiting requests of a service at one priority that hold up others, in tokens.
    pub fn waiting_tokens(&self, service: u64, priority: u8) -> f64 {
        let waiting = self
            .waiting
            .iter()
            .filter(|queued| queued.holds_up(service) && queued.priority == priority);
        waiting.map(|queued| queued.tokens).sum()
    }

    /// Returns whether a new request of a priority would be held up by those that wait for the engines of
    /// `service`.
    pub fn holds_up_priority(&self, service: u64, priority: u8) -> bool {
        let mut waiting = self.waiting.iter();
        waiting.any(|queued| queued.holds_up(service) && queued.priority <= priority)
    }

    /// Returns the time after which a refused caller should retry, in milliseconds.
    ///
    /// Successive callers get later times, spaced by the rate at which memory is released.
    pub fn retry_after_ms(&mut self, now: MilliTime) -> u64 {
        let earliest = now.plus(MIN_RETRY_MS);
        let latest = now.plus(MAX_RETRY_MS);
        let retry_at = self.next_retry.clamp(earliest, latest);
        let step_ms = (self.interval_ms * RETRY_SPACING_FACTOR).max(1.0);
        self.next_retry = retry_at.plus(step_ms as u64).min(latest);
        retry_at.since(now)
    }

    /// Removes a request that was assigned memory or no longer waits.
    pub fn remove(&mut self, number: u64) {
        self.waiting.retain(|queued| queued.number != number);
        let min_round = self.waiting.iter().map(|queued| queued.round).min();
        match min_round {
            Some(min_round) => {
                self.completed_round = self.completed_round.max(min_round - 1);
                let completed = self.completed_round;
                self.account_rounds.retain(|entry| entry.round > completed);
            }
            // In an empty queue, past requests of an account no longer count against it.
            None => self.account_rounds.clear(),
        }
    }

    /// Returns the number of the request at the head.
    pub fn first(&self) -> Option<u64> {
        self.waiting.first().map(|queued| queued.number)
    }

    /// Returns whether a request may look for engines, as none before it holds it up.
    pub fn is_turn(&self, number: u64) -> bool {
        let position = self
            .waiting
            .iter()
            .position(|queued| queued.number == number);
        let Some(position) = position else {
            return false;
        };
        let service = self.waiting[position].service;
        let mut ahead = self.waiting[..position].iter();
        !ahead.any(|queued| queued.holds_up(service))
    }

    /// Returns whether a new request would be held up by those that wait for the engines of `service`.
    pub fn holds_up(&self, service: u64) -> bool {
        self.waiting.iter().any(|queued| queued.holds_up(service))
    }

    /// Sets whether a request waits for a reason of its own, so that it holds up no others; returns whether it
    /// held them up until now.
    pub fn set_passable(&mut self, number: u64, is_passable: bool) -> bool {
        let queued = self
            .waiting
            .iter_mut()
            .find(|queued| queued.number == number);
        queued.is_some_and(|queued| {
            let was_passable = std::mem::replace(&mut queued.is_passable, is_passable);
            is_passable && !was_passable
        })
    }

    /// Returns the mean time for which a request runs, in milliseconds.
    pub fn run_ms(&self) -> f64 {
        self.run_ms
    }

    /// Records the time for which a request has run, in milliseconds.
    pub fn record_run(&mut self, run_ms: u64) {
        self.run_ms += (run_ms as f64 - self.run_ms) * OBSERVATION_WEIGHT;
    }

    /// Records the end of a request, which releases its KV memory.
    pub fn record_release(&mut self, now: MilliTime) {
        if let Some(last) = self.last_release {
            let elapsed_ms = now.since(last) as f64;
            self.interval_ms += (elapsed_ms - self.interval_ms) * OBSERVATION_WEIGHT;
        }
        self.last_release = Some(now);
    }
}

impl QueuedRequest {
    fn holds_up(&self, service: u64) -> bool {
        self.service == service && !self.is_passable
    }
}

impl Default for CapacityQueue {
    fn default() -> CapacityQueue {
        CapacityQueue::new()
    }
}
