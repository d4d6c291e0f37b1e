use std::rc::Rc;

use bytes::Bytes;
use dandelionroad_core::relay::RelayAccount;
use dandelionroad_core::relay::RelayConfig;
use dandelionroad_core::relay::RelayRoute;
use dandelionroad_core::relay::RelayService;
use dandelionroad_core::relay::request_fingerprint;
use dandelionroad_core::time::MilliTime;
use hyper::http::request::Parts;

use crate::wire::CallerRequest;

/// An admitted request with all that its way to the end needs.
pub(super) struct RelayRequest {
    /// What the caller said.
    pub(super) caller: CallerRequest,
    /// The head as the caller sent it.
    pub(super) parts: Parts,
    /// The whole body.
    pub(super) body: Bytes,
    /// The configuration by which it was admitted.
    pub(super) config: Rc<RelayConfig>,
    /// The position of its route in the configuration.
    pub(super) route: usize,
    /// The position of its service in the configuration.
    pub(super) service: usize,
    /// The position of its client account in the configuration.
    pub(super) account: Option<usize>,
    /// When the caller stops waiting, or the operator wants it to.
    pub(super) deadline: MilliTime,
}

impl RelayRequest {
    /// Returns the route.
    pub(super) fn route(&self) -> &RelayRoute {
        &self.config.routes[self.route]
    }

    /// Returns the service.
    pub(super) fn service(&self) -> &RelayService {
        &self.config.services[self.service]
    }

    /// Returns the client account.
    pub(super) fn account(&self) -> Option<&RelayAccount> {
        self.account.map(|account| &self.config.accounts[account])
    }

    /// Returns the rank of the request, 0 first.
    pub(super) fn priority(&self) -> u8 {
        let of_account = self.account().and_then(|account| account.priority);
        of_account.unwrap_or(self.route().priority)
    }

    /// Returns by what the request is known when its caller sends it again.
    pub(super) fn fingerprint(&self) -> String {
        let account = self.account().map_or("", |account| account.name.as_str());
        request_fingerprint(account, self.path(), &self.body)
    }

    /// Returns the path with its query.
    pub(super) fn path(&self) -> &str {
        let target = self.parts.uri.path_and_query();
        target.map_or("/", |target| target.as_str())
    }
}
