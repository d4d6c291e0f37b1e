use std::rc::Rc;

use bytes::Bytes;
use dandelionroad_core::relay::ByteSource;
use dandelionroad_core::relay::PromptPart;
use dandelionroad_core::relay::RelayAccount;
use dandelionroad_core::relay::RelayConfig;
use dandelionroad_core::relay::RelayRoute;
use dandelionroad_core::relay::RelayService;
use dandelionroad_core::relay::request_fingerprint;
use dandelionroad_core::time::MilliTime;
use hyper::http::request::Parts;

use crate::node::NodeState;
use crate::wire::CallerRequest;
use crate::wire::RefusalKind;

/// An admitted request with the configuration objects that it was matched to.
pub(super) struct RelayRequest {
    /// The decoded headers.
    pub(super) caller: CallerRequest,
    /// The head of the request, as received.
    pub(super) parts: Parts,
    /// The whole body.
    pub(super) body: Bytes,
    /// The parts of the prompt that other requests may share, in order.
    pub(super) shared_parts: Vec<PromptPart>,
    /// Whether the request was admitted to find out whether a refused part still crashes engines.
    pub(super) is_probe: bool,
    /// The configuration that admitted the request.
    pub(super) config: Rc<RelayConfig>,
    /// The index of its route in the configuration.
    pub(super) route: usize,
    /// The index of its service in the configuration.
    pub(super) service: usize,
    /// The index of its client account in the configuration; `None` for a public route, or if no
    /// accounts are configured.
    pub(super) account: Option<usize>,
    /// The time at which the request is given up: after the caller's time-out or that of the route, whichever is
    /// shorter.
    pub(super) deadline: MilliTime,
}

impl RelayRequest {
    pub(super) fn route(&self) -> &RelayRoute {
        &self.config.routes[self.route]
    }

    pub(super) fn service(&self) -> &RelayService {
        &self.config.services[self.service]
    }

    pub(super) fn account(&self) -> Option<&RelayAccount> {
        self.account.map(|account| &self.config.accounts[account])
    }

    /// Returns the source to which the buffers of the request are charged.
    pub(super) fn byte_source(&self) -> ByteSource {
        ByteSource::Account(
            self.account()
                .map_or_else(String::new, |account| account.name.clone()),
        )
    }

    /// Returns the priority of the account, or else of the route; 0 is the highest.
    pub(super) fn priority(&self) -> u8 {
        let of_account = self.account().and_then(|account| account.priority);
        of_account.unwrap_or(self.route().priority)
    }

    /// Returns the time that an engine has for its answer if the request is sent to it now, in milliseconds.
    ///
    /// The millisecond by which the deadline is rounded up is not the caller's.
    pub(super) fn engine_timeout_ms(&self, now: MilliTime) -> u64 {
        self.deadline.since(now).saturating_sub(1).max(1)
    }

    /// Returns why the request may no longer be sent: its key was revoked, or the configuration may be out of
    /// date by now.
    ///
    /// Time passes between admission and sending while the body arrives, while the request waits for
    /// capacity, or while the process is suspended.
    pub(super) fn withdrawn_permission(&self, state: &NodeState) -> Option<RefusalKind> {
        self.account()?;
        let view = state.view.borrow();
        if !view.config_age.is_fresh(state.clock.now()) {
            return Some(RefusalKind::StaleConfig);
        }
        let key = self.caller.key.as_deref();
        let is_known = key.is_some_and(|key| view.keys.find(key).is_some());
        (!is_known).then_some(RefusalKind::UnknownKey)
    }

    /// Returns the fingerprint of the account, path and body, which retries by the caller share.
    pub(super) fn fingerprint(&self) -> String {
        let account = self.account().map_or("", |account| account.name.as_str());
        request_fingerprint(account, self.path(), &self.body)
    }

    /// Returns the path with the query.
    pub(super) fn path(&self) -> &str {
        let target = self.parts.uri.path_and_query();
        target.map_or("/", |target| target.as_str())
    }
}
