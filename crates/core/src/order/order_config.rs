/// The intervals and timeouts of an [`OrderMachine`](super::OrderMachine).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OrderConfig {
    /// The time between reads of an engine that holds its target, in milliseconds.
    ///
    /// A read detects an engine that restarted without a model, and orders of another issuer.
    pub read_interval_ms: u64,
    /// The time before a failed or denied step is retried, in milliseconds.
    pub retry_interval_ms: u64,
    /// The time after which a load proceeds without a turn while the table service is down, in
    /// milliseconds.
    ///
    /// The weight store limits its own rate; turns only avoid failed loads.
    pub turn_timeout_ms: u64,
    /// The time after which an order is repeated if its load is still incomplete, in milliseconds.
    pub load_timeout_ms: u64,
}

impl Default for OrderConfig {
    fn default() -> OrderConfig {
        OrderConfig {
            read_interval_ms: 5_000,
            retry_interval_ms: 500,
            turn_timeout_ms: 30_000,
            load_timeout_ms: 600_000,
        }
    }
}
