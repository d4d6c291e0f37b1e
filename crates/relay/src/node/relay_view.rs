use std::rc::Rc;

use dandelionroad_core::admit::RetryBudget;
use dandelionroad_core::chain::CrossingBudget;
use dandelionroad_core::relay::CapacityQueue;
use dandelionroad_core::relay::ConfigAge;
use dandelionroad_core::relay::CrashDetector;
use dandelionroad_core::relay::DemandTable;
use dandelionroad_core::relay::EngineListing;
use dandelionroad_core::relay::EngineTable;
use dandelionroad_core::relay::EraClock;
use dandelionroad_core::relay::KeyIndex;
use dandelionroad_core::relay::RelayConfig;
use dandelionroad_core::relay::RouteIndex;
use dandelionroad_core::relay::ShortageAdmission;
use dandelionroad_core::relay::ShortageControl;
use dandelionroad_core::relay::StartGate;
use dandelionroad_core::relay::StoreContact;
use dandelionroad_core::relay::StoreGap;
use dandelionroad_core::route::hash_text;
use dandelionroad_core::time::MilliTime;

use super::RelayBounds;
use super::RelaySettings;

/// The number of processes by which the retry budget is divided until messages of other processes arrive.
const INITIAL_PROCESS_COUNT: u32 = 32;

/// The local view that a process has of the deployment.
#[derive(Debug)]
pub struct RelayView {
    /// The newest known configuration.
    pub config: Option<Rc<RelayConfig>>,
    /// An index of the configuration's routes.
    pub routes: RouteIndex,
    /// An index of the configuration's API keys.
    pub keys: KeyIndex,
    /// The time at which the configuration was last confirmed as the newest.
    pub config_age: ConfigAge,
    /// A newer configuration than the held one that was confirmed, by its version, and the time of the confirmation.
    confirmed_config: Option<(u64, MilliTime)>,
    /// The newest era of the store.
    pub era: EraClock,
    /// The condition on which the process may take callers after its start.
    pub start_gate: StartGate,
    /// The list of engines as it was last read.
    pub listing: EngineListing,
    /// The listed engines with their loads.
    pub engines: EngineTable,
    /// The demand for services under shortage control, of this process and of the others.
    pub demand: DemandTable,
    /// The requests that may have crashed engines.
    pub crashes: CrashDetector,
    /// Whether the crashes in the store were read after the start, or could not be read.
    pub is_crash_record_read: bool,
    /// The time at which the list of engines was last confirmed as the newest.
    pub listing_time: MilliTime,
    /// When the store answered this process, and when it did not.
    pub store_contact: StoreContact,
    /// Whether the list of engines was read at least once.
    pub has_listing: bool,
    /// This process's share of the retry budget.
    pub retry_budget: RetryBudget,
    /// The budget of requests over chains that cross availability zones.
    pub crossing_budget: CrossingBudget,
    /// The number of live relay processes, this one included.
    pub process_count: u32,
    /// Whether the process is shutting down; it then reports that it isn't ready.
    pub is_stopping: bool,
    /// The admissions of the services for which the configuration calls for it, sorted by the hashes of their names.
    admissions: Vec<(u64, ShortageAdmission)>,
}

impl RelayView {
    /// Creates the view of a process that has not read anything yet.
    pub fn new(settings: &RelaySettings) -> RelayView {
        RelayView {
            config: None,
            routes: RouteIndex::default(),
            keys: KeyIndex::default(),
            config_age: ConfigAge::new(settings.bounds.key_age_ms),
            confirmed_config: None,
            era: EraClock::new(),
            start_gate: StartGate::new(),
            listing: EngineListing::new(),
            engines: EngineTable::new(),
            demand: DemandTable::new(&settings.zone),
            crashes: CrashDetector::new(),
            is_crash_record_read: false,
            listing_time: MilliTime::default(),
            store_contact: StoreContact::new(),
            has_listing: false,
            retry_budget: RetryBudget::empty(
                settings.bounds.retry_percent,
                settings.bounds.retry_slack / INITIAL_PROCESS_COUNT,
            ),
            crossing_budget: CrossingBudget::new(),
            process_count: INITIAL_PROCESS_COUNT,
            is_stopping: false,
            admissions: Vec::new(),
        }
    }

    /// Returns the admission under shortage of a service; `None` if the configuration does not call for it.
    ///
    /// `service` is the hash of its name.
    pub fn admission(&self, service: u64) -> Option<&ShortageAdmission> {
        let index = self.admission_index(service)?;
        Some(&self.admissions[index].1)
    }

    /// Returns the admission under shortage of a service for updates; see [`admission`](RelayView::admission).
    pub fn admission_mut(&mut self, service: u64) -> Option<&mut ShortageAdmission> {
        let index = self.admission_index(service)?;
        Some(&mut self.admissions[index].1)
    }

    fn admission_index(&self, service: u64) -> Option<usize> {
        let found = self
            .admissions
            .binary_search_by_key(&service, |(known, _)| *known);
        found.ok()
    }

    /// Sets the work that waits at this process, which it reports to the others.
    pub fn set_waiting(&mut self, queue: &CapacityQueue) {
        // Ranks and services that a change of the configuration has removed are not set again below.
        self.demand.clear_waiting();
        for (service, admission) in &self.admissions {
            for rank in admission.control().ranks() {
                let tokens = queue.waiting_tokens(*service, rank);
                self.demand.set_waiting(*service, rank, tokens);
            }
        }
    }

    /// Returns whether the configuration calls for admission under shortage of some service.
    pub fn has_admissions(&self) -> bool {
        !self.admissions.is_empty()
    }

    /// Creates the admissions that the configuration calls for, and keeps the state of those that there are.
    fn update_admissions(&mut self, config: &RelayConfig) {
        let mut held = std::mem::take(&mut self.admissions);
        for service in &config.services {
            let Some(control) = ShortageControl::for_service(config, service) else {
                continue;
            };
            let key = hash_text(0, &service.name);
            let known = held.extract_if(.., |(known, _)| *known == key).next();
            let admission = match known {
                Some((_, mut admission)) => {
                    admission.set_control(control);
                    admission
                }
                None => ShortageAdmission::new(control),
            };
            self.admissions.push((key, admission));
        }
        self.admissions.sort_by_key(|(key, _)| *key);
    }

    /// Applies reloaded limits to the configuration's maximum age and to the retry budget.
    pub fn set_bounds(&mut self, bounds: RelayBounds) {
        self.config_age.set_limit(bounds.key_age_ms);
        self.retry_budget.set_percent(bounds.retry_percent);
        self.retry_budget
            .set_burst(bounds.retry_slack / self.process_count);
    }

    /// Records that a version of the configuration was confirmed to be the newest at `time`.
    ///
    /// If it is newer than the held one, the confirmation takes effect once it is adopted.
    pub fn confirm_config(&mut self, version: u64, time: MilliTime) {
        match self.config.as_ref().map(|config| config.version) {
            Some(held) if held == version => self.config_age.confirm(time),
            Some(held) if held > version => {}
            _ => self.confirmed_config = Some((version, time)),
        }
    }

    /// Adopts a configuration if it is newer than the present one, and returns whether it was adopted.
    pub fn adopt(&mut self, config: RelayConfig) -> bool {
        let present = self.config.as_ref().map(|config| config.version);
        if present.is_some_and(|version| version >= config.version) {
            return false;
        }
        if let Some((version, time)) = self.confirmed_config
            && version <= config.version
        {
            self.config_age.confirm(time);
        }
        self.update_admissions(&config);
        self.routes = RouteIndex::new(&config);
        self.keys = KeyIndex::new(&config);
        self.config = Some(Rc::new(config));
        true
    }

    /// Lets the process take callers if the condition after its start holds; returns whether it does.
    pub fn update_gate(&mut self, now: MilliTime) -> bool {
        let was_open = self.start_gate.is_open();
        let held = self.config.as_ref().map(|config| config.version);
        let is_proven = self.config_age.age_ms(now).is_some();
        let is_settling = self.era.is_settling(now);
        let is_open = self.start_gate.update(held, is_proven, is_settling, now);
        if is_open && !was_open {
            spdlog::info!("node: the state of the store is known", kv: {
                config = held.unwrap_or_default(),
                proven = is_proven,
            });
        }
        is_open
    }

    /// Returns the configuration by which callers' requests are handled; `None` until the process may take callers.
    ///
    /// A balancer may send callers to a process that has just started and isn't ready. It knows neither whether its
    /// configuration is the newest nor which requests crash engines.
    pub fn serving_config(&self) -> Option<&Rc<RelayConfig>> {
        let is_informed = self.start_gate.is_open() && self.is_crash_record_read;
        self.config.as_ref().filter(|_| is_informed)
    }

    /// Returns the time at which the list of engines was last confirmed to be the newest, or `None` before the first
    /// read.
    pub fn listing_confirmed(&self) -> Option<MilliTime> {
        self.has_listing.then_some(self.listing_time)
    }

    /// Returns what is known of the store since the configuration was last confirmed to be the newest.
    pub fn config_gap(&self, now: MilliTime) -> StoreGap {
        StoreGap {
            confirmed: self.config_age.confirmed_at(),
            failed: self.store_contact.failed_start(now),
        }
    }

    /// Returns what is known of the store since the list of engines was last confirmed to be the newest.
    pub fn listing_gap(&self, now: MilliTime) -> StoreGap {
        StoreGap {
            confirmed: self.listing_confirmed(),
            failed: self.store_contact.failed_start(now),
        }
    }

    /// Returns the time since the list of engines was last confirmed to be the newest, in milliseconds, or
    /// `None` before the first read.
    pub fn listing_age_ms(&self, now: MilliTime) -> Option<u64> {
        let confirmed = self.listing_confirmed()?;
        Some(now.since(confirmed))
    }

    /// Returns whether the process accepts callers.
    pub fn is_ready(&self) -> bool {
        self.serving_config().is_some() && self.has_listing && !self.is_stopping
    }
}
