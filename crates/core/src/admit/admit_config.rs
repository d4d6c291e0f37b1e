/// The limits of an endpoint's admission queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmitConfig {
    /// The maximum work in the queue, in work units.
    pub queue_units: u64,
    /// The number of slots: the maximum number of requests that run concurrently.
    pub concurrency: u32,
    /// The slots reserved for accounts that use less than an equal share of all slots.
    pub reserved_slots: u32,
    /// The configured rate of the endpoint, in work units per second.
    pub units_per_second: u64,
    /// The share of the work reserved for lower priority classes while they wait, in percent.
    pub lower_share_percent: u32,
}

impl AdmitConfig {
    /// The default of [`lower_share_percent`](AdmitConfig::lower_share_percent).
    pub const DEFAULT_LOWER_SHARE_PERCENT: u32 = 10;

    /// The number of reserved slots is the concurrency divided by this number.
    ///
    /// With one eighth reserved, small accounts waited for slots behind a large one. With almost half
    /// reserved, large accounts alone did not use the engines fully.
    pub const RESERVED_SLOTS_DIVISOR: u32 = 3;

    /// Creates a configuration with the default reserves.
    pub fn new(queue_units: u64, concurrency: u32, units_per_second: u64) -> AdmitConfig {
        let concurrency = concurrency.max(1);
        AdmitConfig {
            queue_units,
            concurrency,
            reserved_slots: concurrency / AdmitConfig::RESERVED_SLOTS_DIVISOR,
            units_per_second: units_per_second.max(1),
            lower_share_percent: AdmitConfig::DEFAULT_LOWER_SHARE_PERCENT,
        }
    }
}
