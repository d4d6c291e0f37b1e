use crate::time::MilliTime;

/// The minimum time after which a refused caller is asked to return, in milliseconds.
///
/// A shorter time would bring it back before the loads of other processes are known.
const MIN_RETURN_MS: u64 = 100;

/// The maximum time after which a refused caller is asked to return, in milliseconds.
const MAX_RETURN_MS: u64 = 6_000;

/// Callers comply with a return time of up to the time that they have left divided by this number.
pub(super) const COMPLIANCE_DIVISOR: u64 = 3;

/// The times at which refused callers are asked to return.
///
/// Load: a burst, or a start of all processes at once, after which many callers are refused within a second. If they
/// all returned together, most of them would be refused again. The first one returns when room is expected, the others
/// one after the other. Times that were booked for less urgent callers don't delay more urgent ones, and less urgent
/// callers that are refused later return after the more urgent ones.
///
/// # Example
///
/// ```
/// use dandelionroad_core::relay::ReturnSchedule;
/// use dandelionroad_core::time::MilliTime;
///
/// let mut schedule = ReturnSchedule::default();
/// let now = MilliTime::from_millis(1_000);
/// assert_eq!(schedule.book(2, now.plus(300), 150, 20_000, now), 300);
/// assert_eq!(schedule.book(2, now.plus(300), 150, 20_000, now), 450);
/// // More urgent callers are not delayed by less urgent ones.
/// assert_eq!(schedule.book(0, now.plus(300), 150, 20_000, now), 300);
/// assert_eq!(schedule.book(2, now.plus(300), 150, 20_000, now), 600);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ReturnSchedule {
    /// The next free time of each rank, sorted by rank.
    next_times: Vec<(u8, MilliTime)>,
}

impl ReturnSchedule {
    /// Books the return of a caller and returns the time until then, in milliseconds.
    ///
    /// Room is expected at `room_at`. The next caller of the same or a less urgent rank returns `spacing_ms` milliseconds later.
    /// The time is at most a third of the `left_ms` milliseconds that the caller has left, as callers return no later.
    pub fn book(
        &mut self,
        rank: u8,
        room_at: MilliTime,
        spacing_ms: u64,
        left_ms: u64,
        now: MilliTime,
    ) -> u64 {
        let max_ms = (left_ms / COMPLIANCE_DIVISOR).clamp(MIN_RETURN_MS, MAX_RETURN_MS);
        let earliest = room_at.max(now.plus(MIN_RETURN_MS));
        let latest = now.plus(max_ms);
        let index = self.index_of(rank);
        let free_at = self.next_times[index].1;
        let return_at = free_at.max(earliest).min(latest);
        let next = return_at.plus(spacing_ms.max(1));
        for (_, time) in &mut self.next_times[index..] {
            *time = (*time).max(next);
        }
        return_at.since(now)
    }

    /// Returns the position of a rank, which starts with the times of the more urgent callers.
    fn index_of(&mut self, rank: u8) -> usize {
        let found = self
            .next_times
            .binary_search_by_key(&rank, |(known, _)| *known);
        found.unwrap_or_else(|index| {
            let start = match index {
                0 => MilliTime::default(),
                _ => self.next_times[index - 1].1,
            };
            self.next_times.insert(index, (rank, start));
            index
        })
    }
}
