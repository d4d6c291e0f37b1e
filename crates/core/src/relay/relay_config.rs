use super::CallerLimits;
use super::RelayAccount;
use super::RelayRoute;
use super::RelayService;

/// One version of the operator's configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct RelayConfig {
    /// The version; a later configuration has a higher one.
    pub version: u64,
    /// The routes.
    pub routes: Vec<RelayRoute>,
    /// The services, sorted by name.
    pub services: Vec<RelayService>,
    /// The client accounts; none means that requests need no key.
    pub accounts: Vec<RelayAccount>,
    /// The limits of callers.
    pub limits: CallerLimits,
}

impl RelayConfig {
    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&RelayService> {
        let index = self
            .services
            .binary_search_by(|service| service.name.as_str().cmp(name));
        index.ok().map(|index| &self.services[index])
    }
}
