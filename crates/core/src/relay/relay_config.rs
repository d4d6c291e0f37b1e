use super::CallerLimits;
use super::RelayAccount;
use super::RelayRoute;
use super::RelayService;

/// One version of the operator's configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct RelayConfig {
    /// The version, which increases with each configuration.
    pub version: u64,
    /// The routes, to which a [`RouteIndex`](super::RouteIndex) refers by position.
    pub routes: Vec<RelayRoute>,
    /// The services, sorted by name.
    pub services: Vec<RelayService>,
    /// The client accounts; if there are none, requests need no key.
    pub accounts: Vec<RelayAccount>,
    /// The limits on callers' requests.
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
