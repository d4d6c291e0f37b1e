mod account_checks;
mod config_difference;
mod config_fault;
mod config_finding;
mod config_place;
mod difference_list;
mod finding_level;
mod route_checks;
mod service_checks;

pub use self::config_difference::ConfigDifference;
pub use self::config_fault::ConfigFault;
pub use self::config_finding::ConfigFinding;
pub use self::config_place::ConfigPlace;
pub use self::finding_level::FindingLevel;

use super::RelayConfig;

/// The lowest priority that engines accept; requests of a lower one are sent as this one.
const LOWEST_PRIORITY: u8 = 9;

/// The number of priorities that engines tell apart.
const MAX_PRIORITIES: usize = LOWEST_PRIORITY as usize + 1;

/// Checks a configuration before it is written to the store.
///
/// Findings are weighed by what the relay does with the configuration, see [`FindingLevel`].
///
/// # Example
///
/// ```
/// use dandelionroad_core::relay::CallerLimits;
/// use dandelionroad_core::relay::ConfigCheck;
/// use dandelionroad_core::relay::RelayConfig;
///
/// let config = RelayConfig {
///     version: 1,
///     routes: Vec::new(),
///     services: Vec::new(),
///     accounts: Vec::new(),
///     limits: CallerLimits::default(),
/// };
/// assert!(ConfigCheck::new(&config).findings().is_empty());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ConfigCheck<'a> {
    config: &'a RelayConfig,
}

impl<'a> ConfigCheck<'a> {
    /// Creates the check of a configuration.
    pub fn new(config: &'a RelayConfig) -> ConfigCheck<'a> {
        ConfigCheck { config }
    }

    /// Returns the findings: those of routes, of services, of accounts, and of the whole configuration.
    pub fn findings(&self) -> Vec<ConfigFinding> {
        let mut findings = route_checks::check_routes(self.config);
        findings.extend(service_checks::check_services(self.config));
        findings.extend(account_checks::check_accounts(self.config));
        findings.extend(self.check_priorities());
        findings
    }

    /// Returns the finding of a version that is not above the version in force, if it isn't.
    pub fn version_finding(&self, in_force: &RelayConfig) -> Option<ConfigFinding> {
        let version = self.config.version;
        (version <= in_force.version).then_some(ConfigFinding {
            place: ConfigPlace::Version,
            fault: ConfigFault::OldVersion {
                version,
                in_force: in_force.version,
            },
        })
    }

    /// Returns what the configuration changes in the one in force, without keys.
    pub fn differences(&self, in_force: &RelayConfig) -> Vec<ConfigDifference> {
        difference_list::list_differences(in_force, self.config)
    }

    fn check_priorities(&self) -> Option<ConfigFinding> {
        let routes = self.config.routes.iter().map(|route| route.priority);
        let accounts = self.config.accounts.iter();
        let accounts = accounts.filter_map(|account| account.priority);
        let mut priorities: Vec<u8> = routes.chain(accounts).collect();
        priorities.sort_unstable();
        priorities.dedup();
        let count = priorities.len();
        (count > MAX_PRIORITIES).then_some(ConfigFinding {
            place: ConfigPlace::Whole,
            fault: ConfigFault::ManyPriorities { count },
        })
    }
}
