/// The time for which an engine that turns a request away wants no further ones.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryAfter {
    /// A time from the response on, in milliseconds.
    Delay(u64),
    /// A time of day, in milliseconds since the Unix epoch.
    Date(u64),
}

impl RetryAfter {
    /// Returns the time from `now_ms` on, the time of day in milliseconds since the Unix epoch, in milliseconds.
    pub fn delay_ms(self, now_ms: u64) -> u64 {
        match self {
            RetryAfter::Delay(delay_ms) => delay_ms,
            RetryAfter::Date(date_ms) => date_ms.saturating_sub(now_ms),
        }
    }
}
