/// The limits of an endpoint's admission queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmitConfig {
    /// The greatest work in the queue, in work units.
    pub queue_units: u64,
    /// The greatest number of requests that run at once.
    pub concurrency: u32,
    /// The slots that only accounts with less than an equal part of all slots may take.
    pub reserved_slots: u32,
    /// The configured rate of the endpoint in work units per second.
    pub units_per_second: u64,
    /// The share of the work kept for lower priority classes while they wait, in percent.
    pub lower_share_percent: u32,
}

impl AdmitConfig {
    /// The default share of the work kept for lower priority classes, in percent.
    pub const DEFAULT_LOWER_SHARE_PERCENT: u32 = 10;

    /// The part of the slots in the reserve, as a divisor.
    ///
    /// With an eighth, small accounts waited for slots beside a large one; with almost a half,
    /// large accounts alone did not fill the engines.
    pub const RESERVE_DIVISOR: u32 = 3;

    /// Creates the configuration of an endpoint with the default shares.
    pub fn new(queue_units: u64, concurrency: u32, units_per_second: u64) -> AdmitConfig {
        let concurrency = concurrency.max(1);
        AdmitConfig {
            queue_units,
            concurrency,
            reserved_slots: concurrency / AdmitConfig::RESERVE_DIVISOR,
            units_per_second: units_per_second.max(1),
            lower_share_percent: AdmitConfig::DEFAULT_LOWER_SHARE_PERCENT,
        }
    }
}
