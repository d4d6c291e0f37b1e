/// The limits of an endpoint's admission queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmitConfig {
    /// The greatest work in the queue, in work units.
    pub queue_units: u64,
    /// The greatest number of requests that run at once.
    pub concurrency: u32,
    /// The slots that only accounts without running work may take.
    pub reserved_slots: u32,
    /// The configured rate of the endpoint in work units per second.
    pub units_per_second: u64,
    /// The share of the work kept for lower priority classes while they wait, in percent.
    pub lower_share_percent: u32,
}

impl AdmitConfig {
    /// The default share of the work kept for lower priority classes, in percent.
    pub const DEFAULT_LOWER_SHARE_PERCENT: u32 = 10;

    /// Creates the configuration of an endpoint with the default shares.
    pub fn new(queue_units: u64, concurrency: u32, units_per_second: u64) -> AdmitConfig {
        let concurrency = concurrency.max(1);
        AdmitConfig {
            queue_units,
            concurrency,
            reserved_slots: concurrency / 8,
            units_per_second: units_per_second.max(1),
            lower_share_percent: AdmitConfig::DEFAULT_LOWER_SHARE_PERCENT,
        }
    }
}
