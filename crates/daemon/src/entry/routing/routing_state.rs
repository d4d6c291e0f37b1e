use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use dandelionroad_core::admit::WorkUnits;
use dandelionroad_core::config::ConfigState;
use dandelionroad_core::ident::EndpointName;
use dandelionroad_core::ident::RequestIdent;
use dandelionroad_core::member::MemberTable;
use dandelionroad_core::route::LoadReport;
use dandelionroad_core::stream::ChainRoute;
use dandelionroad_core::stream::StreamOrder;
use dandelionroad_core::time::MilliTime;

use super::routing_tables::RoutingTables;

/// The assumed length of a prompt token in bytes.
const PROMPT_TOKEN_BYTES: u64 = 4;

/// The time for which an endpoint is avoided after it failed a request, in milliseconds.
///
/// The member list marks a lost member as `gone` after about 6 s. Each further failure restarts the
/// time.
const AVOID_FAILED_MS: u64 = 5_000;

/// The time for which an endpoint is avoided after it refused a request, in milliseconds.
const AVOID_REFUSING_MS: u64 = 100;

/// The routing state of an entry: route plans, endpoint loads and the work of its own requests.
pub struct RoutingState {
    tables: Mutex<RoutingTables>,
}

impl RoutingState {
    /// Creates the state of the entry `name`; `seed` determines the random choices.
    pub fn new(name: &str, seed: u64) -> RoutingState {
        RoutingState {
            tables: Mutex::new(RoutingTables::new(name, seed)),
        }
    }

    /// Returns the estimated work of a request, in work units.
    pub fn request_units(order: &StreamOrder) -> u64 {
        let prompt_tokens = (order.prompt.len() as u64).div_ceil(PROMPT_TOKEN_BYTES);
        WorkUnits::default().of_request(prompt_tokens, u64::from(order.max_tokens))
    }

    /// Chooses a route without the excluded endpoints, which are sorted, and adds the work of the
    /// request to the loads on it.
    ///
    /// `repair` is a route with the index of its failed stage: the other stages are kept if other
    /// endpoints can cover the layers of the failed one. Returns `None` if no route covers all
    /// layers.
    pub fn choose_route(
        &self,
        config: &Arc<ConfigState>,
        members: &Arc<MemberTable>,
        order: &StreamOrder,
        excluded: &[EndpointName],
        repair: Option<(&ChainRoute, usize)>,
        now: MilliTime,
    ) -> Option<ChainRoute> {
        let mut tables = self.tables();
        tables.refresh(config, members);
        let units = RoutingState::request_units(order);
        let route = tables.choose_route(order, units, excluded, repair, now)?;
        tables.add_request(&order.request, &route, units);
        Some(route)
    }

    /// Returns the model version with which a request is to run.
    ///
    /// This is the configured version if a complete chain of endpoints holds it. Otherwise, during
    /// a rollout, it is the highest other version that a complete chain holds. A request that has
    /// sent tokens keeps its version as long as a complete chain holds it.
    pub fn choose_version(
        &self,
        config: &Arc<ConfigState>,
        members: &Arc<MemberTable>,
        order: &StreamOrder,
    ) -> u32 {
        let mut tables = self.tables();
        tables.refresh(config, members);
        tables.choose_version(order)
    }

    /// Removes the work of a request that has ended from the loads.
    pub fn remove_request(&self, request: &RequestIdent) {
        self.tables().remove_request(request);
    }

    /// Records a load report of an endpoint.
    pub fn record_report(&self, endpoint: &EndpointName, load: &LoadReport, now: MilliTime) {
        self.tables().picker.record_report(endpoint, load, now);
    }

    /// Avoids an endpoint for a while after it refused or failed a request, unless there is no
    /// other choice.
    pub fn avoid(&self, endpoint: &EndpointName, was_refusal: bool, now: MilliTime) {
        let millis = match was_refusal {
            true => AVOID_REFUSING_MS,
            false => AVOID_FAILED_MS,
        };
        self.tables().picker.avoid(endpoint, now.plus(millis));
    }

    fn tables(&self) -> MutexGuard<'_, RoutingTables> {
        self.tables
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }
}
