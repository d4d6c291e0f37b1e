use crate::chain::RoomLimits;
use crate::time::MilliTime;

use super::AdmissionVerdict;
use super::ArrivalRate;
use super::ReturnSchedule;
use super::ShortageControl;
use super::ShortageRequest;
use super::return_schedule::COMPLIANCE_DIVISOR;

/// A request waits for room until its target time to the first event, divided by this number, has passed since its
/// arrival.
///
/// Once it is sent, the first event takes 10 % to 20 % of the target time.
const WAIT_DIVISOR: u64 = 2;

/// The minimum time without an event after which callers give up a stream, in milliseconds.
const MIN_PATIENCE_MS: u64 = 2_000;

/// Callers give up a stream without an event after this multiple of its target time to the first event.
const TARGET_PATIENCE_FACTOR: u64 = 4;

/// Callers give up a stream without an event after this multiple of its target for the time between events.
const GAP_PATIENCE_FACTOR: u64 = 8;

/// The part of the callers' patience for which a request waits that could not come back, in percent.
///
/// The rest is for the prompt and the way of the first event.
const LATE_WAIT_PERCENT: u64 = 75;

/// The share of the arriving work that refused callers add when they return.
///
/// More would bring the next shortage about.
const RETURN_SHARE: f64 = 0.5;

/// The part of the mean run time after which enough of the running requests have ended to make a difference.
const ENDED_RUN_SHARE: f64 = 0.5;

/// The time without refusals after which a shortage is over, in milliseconds.
const SHORTAGE_GAP_MS: u64 = 1_000;

/// The minimum share of the arriving work that counts as left to a rank, so that waits stay finite.
const MIN_SHARE_LEFT: f64 = 0.05;

/// The part of the KV memory and of the slots that requests leave to more urgent ones, if all others are more urgent.
const MEMORY_RESERVE: f64 = 0.15;

/// The part of the time in which prompts may wait for prefill that requests leave to more urgent ones, if all others are
/// more urgent.
const QUEUE_RESERVE: f64 = 0.5;

/// The prompts of the most urgent requests may wait for prefill for their target time divided by this number.
///
/// The rest of the time is for the prompt itself and the way of its first event.
const QUEUE_TIME_DIVISOR: f64 = 2.0;

/// The time in which each process can place a request, in milliseconds: the interval in which the free room is
/// divided among the processes.
const DIVISION_MS: f64 = 100.0;

/// The time after which a caller returns if it is not known when there will be room, in milliseconds.
const UNKNOWN_ROOM_MS: f64 = 500.0;

/// Decides which requests wait, which are refused, and when refused callers return while the engines of a model service
/// lack room.
///
/// Load: more work than the engines can take, for some seconds (a burst, lost engines, all callers at once after a
/// start) or for good. Requests are ordered by rank first. Within a rank, what costs callers least goes first: a
/// request that can still be in time waits, and one that can't is refused at once and returns when room is expected.
/// One whose caller could not return in time waits although it will be late, since late is better than never. Fair
/// queueing by account and the order by work are those of [`CapacityQueue`](super::CapacityQueue).
///
/// All processes decide by the same rule. What a process can't see, the more urgent work that waits at others, enters
/// through [`limits`](ShortageAdmission::limits).
///
/// # Example
///
/// ```
/// use dandelionroad_core::relay::AdmissionVerdict;
/// use dandelionroad_core::relay::ShortageAdmission;
/// use dandelionroad_core::relay::ShortageControl;
/// use dandelionroad_core::relay::ShortageRequest;
/// use dandelionroad_core::time::MilliTime;
///
/// let now = MilliTime::from_millis(10_000);
/// let control = ShortageControl::new(vec![(0, 0, 500), (0, 1, 500)]).unwrap();
/// let mut admission = ShortageAdmission::new(control);
/// let request = ShortageRequest {
///     rank: 0,
///     tokens: 900.0,
///     target_ms: 500,
///     gap_target_ms: 250,
///     arrival: now,
///     deadline: now.plus(20_000),
/// };
/// admission.record_arrival(request.rank, request.tokens, now);
/// let in_time = admission.decide(&request, Some(80.0), 0.0, now);
/// assert_eq!(in_time, AdmissionVerdict::Wait(now.plus(250)));
/// assert_eq!(admission.decide(&request, Some(400.0), 0.0, now), AdmissionVerdict::Refuse);
/// assert!(admission.book_return(&request, Some(400.0), 2_000.0, now) >= 1_000);
/// ```
#[derive(Clone, Debug)]
pub struct ShortageAdmission {
    control: ShortageControl,
    /// The arrivals of each rank.
    arrivals: Vec<ArrivalRate>,
    returns: ReturnSchedule,
    /// The present or last shortage of each rank.
    shortages: Vec<RankShortage>,
}

/// A time in which requests of a rank are refused.
#[derive(Clone, Copy, Debug, Default)]
struct RankShortage {
    first_refusal: MilliTime,
    last_refusal: MilliTime,
}

impl ShortageAdmission {
    /// Creates the admission of a service without requests.
    pub fn new(control: ShortageControl) -> ShortageAdmission {
        ShortageAdmission {
            control,
            arrivals: Vec::new(),
            returns: ReturnSchedule::default(),
            shortages: Vec::new(),
        }
    }

    /// Returns the classes of requests of the service.
    pub fn control(&self) -> &ShortageControl {
        &self.control
    }

    /// Replaces the classes after a change of the configuration.
    pub fn set_control(&mut self, control: ShortageControl) {
        self.control = control;
    }

    /// Records a request that arrived.
    pub fn record_arrival(&mut self, rank: u8, tokens: f64, now: MilliTime) {
        let index = usize::from(rank);
        if self.arrivals.len() <= index {
            self.arrivals.resize(index + 1, ArrivalRate::default());
        }
        self.arrivals[index].record(tokens, now);
    }

    /// Returns what a request of a rank may take of the engines.
    ///
    /// Load: requests of several ranks that together exceed the room of the engines. Without limits, those that arrive
    /// first fill the engines, whatever their rank. Each rank therefore leaves room to the more urgent ones
    /// (trunk reservation), the more the larger their share of the arriving work is. `reserved_tokens` is the work of
    /// more urgent requests that wait at other processes.
    pub fn limits(&self, rank: u8, reserved_tokens: f64, now: MilliTime) -> RoomLimits {
        let rates = self.arrivals.iter().map(|rate| rate.per_ms(now));
        let all: f64 = rates.clone().sum();
        let before: f64 = rates.take(usize::from(rank)).sum();
        let share = before / all.max(f64::MIN_POSITIVE);
        let target_ms = self.control.target_ms(rank) as f64;
        RoomLimits {
            memory_share: 1.0 - MEMORY_RESERVE * share,
            queue_ms: target_ms / QUEUE_TIME_DIVISOR * (1.0 - QUEUE_RESERVE * share),
            reserved_tokens,
        }
    }

    fn arrival_rate(&self, now: MilliTime) -> f64 {
        self.arrivals.iter().map(|rate| rate.per_ms(now)).sum()
    }

    /// Returns the time until a request is expected to be sent, in milliseconds.
    ///
    /// `room_wait_ms` is the time until engines are expected to have room for it, `None` if that is not known.
    /// `ahead_tokens` is the work of the requests that this process sends before it.
    pub fn expected_wait_ms(
        &self,
        request: &ShortageRequest,
        room_wait_ms: Option<f64>,
        ahead_tokens: f64,
        now: MilliTime,
    ) -> f64 {
        let min_rate = request.tokens / DIVISION_MS;
        let rate = self.arrival_rate(now).max(min_rate);
        let wait_ms = room_wait_ms.unwrap_or(0.0) + ahead_tokens / rate.max(f64::MIN_POSITIVE);
        wait_ms / self.share_left(request.rank, now)
    }

    /// Returns the share of the arriving work that is not more urgent than a rank.
    ///
    /// More urgent requests that arrive while one waits go before it, which prolongs its wait as in any queue with
    /// priorities.
    fn share_left(&self, rank: u8, now: MilliTime) -> f64 {
        let rates = self.arrivals.iter().take(usize::from(rank));
        let urgent: f64 = rates.map(|rate| rate.per_ms(now)).sum();
        let all = self.arrival_rate(now);
        match all > 0.0 {
            true => (1.0 - urgent / all).clamp(MIN_SHARE_LEFT, 1.0),
            false => 1.0,
        }
    }

    /// Decides on a request for which no engine has room at present; the arguments are those of
    /// [`expected_wait_ms`](ShortageAdmission::expected_wait_ms).
    pub fn decide(
        &self,
        request: &ShortageRequest,
        room_wait_ms: Option<f64>,
        ahead_tokens: f64,
        now: MilliTime,
    ) -> AdmissionVerdict {
        let wait_ms = self.expected_wait_ms(request, room_wait_ms, ahead_tokens, now);
        let room_at = now.plus(wait_ms as u64);
        let in_time = request.arrival.plus(request.target_ms / WAIT_DIVISOR);
        let in_time = in_time.min(request.deadline);
        if room_at <= in_time && now < in_time {
            return AdmissionVerdict::Wait(in_time);
        }
        let left_ms = request.deadline.since(now);
        let can_return = wait_ms as u64 <= left_ms / COMPLIANCE_DIVISOR;
        let late = request
            .arrival
            .plus(late_wait_ms(request))
            .min(request.deadline);
        if !can_return && room_at <= late && now < late {
            return AdmissionVerdict::Wait(late);
        }
        AdmissionVerdict::Refuse
    }

    /// Books the return of a refused caller; returns the time until then, in milliseconds.
    ///
    /// Room is expected after the wait of the request, but not before a part of the running requests has ended, each of
    /// which takes `run_ms` milliseconds, and not before the shortage of its rank has lasted twice as long as until
    /// now. A shortage that has just begun may be over soon, as at a start of all callers at once.
    pub fn book_return(
        &mut self,
        request: &ShortageRequest,
        room_wait_ms: Option<f64>,
        run_ms: f64,
        now: MilliTime,
    ) -> u64 {
        let rate = self.arrival_rate(now).max(request.tokens / 1_000.0);
        let spacing_ms = request.tokens / (rate * RETURN_SHARE).max(f64::MIN_POSITIVE);
        let room_wait_ms = room_wait_ms.or(Some(UNKNOWN_ROOM_MS));
        let expected_ms = self.expected_wait_ms(request, room_wait_ms, 0.0, now);
        let age_ms = self.record_refusal(request.rank, now);
        let end_ms = (run_ms * ENDED_RUN_SHARE) as u64;
        let room_at = now.plus((expected_ms as u64).max(age_ms).max(end_ms));
        let left_ms = request.deadline.since(now);
        self.returns
            .book(request.rank, room_at, spacing_ms as u64, left_ms, now)
    }

    /// Records a refusal; returns the time for which the shortage of the rank has lasted, in milliseconds.
    fn record_refusal(&mut self, rank: u8, now: MilliTime) -> u64 {
        let index = usize::from(rank);
        if self.shortages.len() <= index {
            self.shortages.resize(index + 1, RankShortage::default());
        }
        let shortage = &mut self.shortages[index];
        if now.since(shortage.last_refusal) > SHORTAGE_GAP_MS {
            shortage.first_refusal = now;
        }
        shortage.last_refusal = now;
        now.since(shortage.first_refusal)
    }
}

/// Returns the time since its arrival for which a request waits that can only be late.
fn late_wait_ms(request: &ShortageRequest) -> u64 {
    let patience_ms = MIN_PATIENCE_MS
        .max(request.target_ms.saturating_mul(TARGET_PATIENCE_FACTOR))
        .max(request.gap_target_ms.saturating_mul(GAP_PATIENCE_FACTOR));
    patience_ms.saturating_mul(LATE_WAIT_PERCENT) / 100
}
