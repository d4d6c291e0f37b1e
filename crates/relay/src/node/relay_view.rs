use std::rc::Rc;

use dandelionroad_core::admit::RetryBudget;
use dandelionroad_core::chain::CrossingBudget;
use dandelionroad_core::relay::ConfigAge;
use dandelionroad_core::relay::CrashDetector;
use dandelionroad_core::relay::EngineTable;
use dandelionroad_core::relay::KeyIndex;
use dandelionroad_core::relay::RelayConfig;
use dandelionroad_core::relay::RouteIndex;
use dandelionroad_core::time::MilliTime;

use super::RelayBounds;
use super::RelaySettings;

/// The processes among which retries are divided before the others were heard of.
const FIRST_PROCESSES: u32 = 32;

/// What a process believes of the system around it.
#[derive(Debug)]
pub struct RelayView {
    /// The newest configuration.
    pub config: Option<Rc<RelayConfig>>,
    /// The routes of the configuration.
    pub routes: RouteIndex,
    /// The keys of the configuration.
    pub keys: KeyIndex,
    /// When the configuration was last known to be the newest.
    pub config_age: ConfigAge,
    /// The listed engines.
    pub engines: EngineTable,
    /// The requests that may have crashed engines.
    pub crashes: CrashDetector,
    /// When the list of engines was last known to be the newest.
    pub listing_time: MilliTime,
    /// When the store last answered this process.
    pub last_store_reply: MilliTime,
    /// Whether the last read of the configuration failed.
    pub is_store_lost: bool,
    /// Whether the engines were listed at least once.
    pub has_listing: bool,
    /// The retries that are left to this process.
    pub retry_budget: RetryBudget,
    /// The requests that this process may send over chains that cross availability zones.
    pub crossing_budget: CrossingBudget,
    /// The number of processes that were heard of lately, this one included.
    pub process_count: u32,
    /// Whether the process is stopping.
    pub is_stopping: bool,
}

impl RelayView {
    /// Creates the view of a process that knows nothing yet.
    pub fn new(settings: &RelaySettings) -> RelayView {
        RelayView {
            config: None,
            routes: RouteIndex::default(),
            keys: KeyIndex::default(),
            config_age: ConfigAge::new(settings.bounds.key_age_ms),
            engines: EngineTable::new(),
            crashes: CrashDetector::new(),
            listing_time: MilliTime::default(),
            last_store_reply: MilliTime::default(),
            is_store_lost: false,
            has_listing: false,
            retry_budget: RetryBudget::empty(
                settings.bounds.retry_percent,
                settings.bounds.retry_slack / FIRST_PROCESSES,
            ),
            crossing_budget: CrossingBudget::new(),
            process_count: FIRST_PROCESSES,
            is_stopping: false,
        }
    }

    /// Takes bounds that have changed.
    pub fn set_bounds(&mut self, bounds: RelayBounds) {
        self.config_age.set_limit(bounds.key_age_ms);
        self.retry_budget.set_percent(bounds.retry_percent);
        self.retry_budget
            .set_burst(bounds.retry_slack / self.process_count);
    }

    /// Adopts a configuration unless a newer one is held; returns whether it was adopted.
    pub fn adopt(&mut self, config: RelayConfig) -> bool {
        let held = self.config.as_ref().map(|config| config.version);
        if held.is_some_and(|version| version >= config.version) {
            return false;
        }
        self.routes = RouteIndex::new(&config);
        self.keys = KeyIndex::new(&config);
        self.config = Some(Rc::new(config));
        true
    }

    /// Returns whether callers may be sent to this process.
    pub fn is_ready(&self) -> bool {
        self.config.is_some() && self.has_listing && !self.is_stopping
    }
}
