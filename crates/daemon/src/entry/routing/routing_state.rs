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

/// The time for which an endpoint that failed a request is avoided, in milliseconds.
///
/// A lost member is `gone` after about six seconds; each further failure starts the time again.
const AVOID_FAILED_MS: u64 = 5_000;

/// The time for which an endpoint that refused a request is avoided, in milliseconds.
const AVOID_REFUSING_MS: u64 = 100;

/// The routing of an entry: plans, loads and the work of its own requests.
pub struct RoutingState {
    tables: Mutex<RoutingTables>,
}

impl RoutingState {
    /// Creates the state of the entry `name`; the seed decides the random choices.
    pub fn new(name: &str, seed: u64) -> RoutingState {
        RoutingState {
            tables: Mutex::new(RoutingTables::new(name, seed)),
        }
    }

    /// Returns the work of a request in work units.
    pub fn request_units(order: &StreamOrder) -> u64 {
        let prompt_tokens = (order.prompt.len() as u64).div_ceil(PROMPT_TOKEN_BYTES);
        WorkUnits::default().of_request(prompt_tokens, u64::from(order.max_tokens))
    }

    /// Chooses a route without the excluded endpoints and counts the work of the request there.
    ///
    /// With `kept`, a route and the position of its failed stage, the other stages stay as they are
    /// if the layers of the failed one can be covered. Returns `None` if no route covers the layers.
    pub fn choose_route(
        &self,
        config: &Arc<ConfigState>,
        members: &Arc<MemberTable>,
        order: &StreamOrder,
        excluded: &[EndpointName],
        kept: Option<(&ChainRoute, usize)>,
        now: MilliTime,
    ) -> Option<ChainRoute> {
        let mut tables = self.tables();
        tables.refresh(config, members);
        let units = RoutingState::request_units(order);
        let route = tables.choose_route(order, units, excluded, kept, now)?;
        tables.add_request(&order.request, &route, units);
        Some(route)
    }

    /// Returns the version of the model that a request is to run with.
    ///
    /// During a rollout it is the configured version once a whole chain of endpoints holds it, and
    /// the highest other one that a whole chain holds until then.
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

    /// Removes the work of a request that has ended.
    pub fn remove_request(&self, request: &RequestIdent) {
        self.tables().remove_request(request);
    }

    /// Takes the load that an endpoint reported.
    pub fn record_report(&self, endpoint: &EndpointName, load: &LoadReport, now: MilliTime) {
        self.tables().picker.record_report(endpoint, load, now);
    }

    /// Avoids an endpoint that refused or failed a request, where there is another choice.
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
