use std::sync::Arc;

use dandelionroad_core::admit::WorkUnits;
use dandelionroad_core::config::ConfigState;
use dandelionroad_core::config::ModelSpec;
use dandelionroad_core::ident::EndpointName;
use dandelionroad_core::ident::ModelName;
use dandelionroad_core::ident::RequestIdent;
use dandelionroad_core::member::MemberTable;
use dandelionroad_core::route::EndpointPicker;
use dandelionroad_core::route::EndpointSubset;
use dandelionroad_core::route::RouteChooser;
use dandelionroad_core::route::mix_seed;
use dandelionroad_core::stream::ChainRoute;
use dandelionroad_core::stream::LayerRange;
use dandelionroad_core::stream::RouteStage;
use dandelionroad_core::stream::StreamOrder;
use dandelionroad_core::time::MilliTime;

use super::model_plan::ModelPlan;
use super::model_plan::candidate_versions;
use super::model_plan::usable_nodes;
use super::request_work::RequestWork;

/// The data behind [`RoutingState`](super::RoutingState), accessed under its lock.
#[derive(Clone, Debug)]
pub(super) struct RoutingTables {
    pub(super) picker: EndpointPicker,
    entry: String,
    seed: u64,
    config: Arc<ConfigState>,
    members: Arc<MemberTable>,
    /// Sorted by model and version.
    plans: Vec<ModelPlan>,
    /// The work of the running requests, sorted by request.
    active_work: Vec<RequestWork>,
}

impl RoutingTables {
    pub(super) fn new(entry: &str, seed: u64) -> RoutingTables {
        RoutingTables {
            picker: EndpointPicker::new(),
            entry: entry.to_owned(),
            seed,
            config: Arc::default(),
            members: Arc::default(),
            plans: Vec::new(),
            active_work: Vec::new(),
        }
    }

    /// Updates the plans to the given configuration and members; unchanged plans are reused.
    pub(super) fn refresh(&mut self, config: &Arc<ConfigState>, members: &Arc<MemberTable>) {
        if Arc::ptr_eq(&self.config, config) && Arc::ptr_eq(&self.members, members) {
            return;
        }
        let mut plans = Vec::new();
        for model in &config.models {
            for version in candidate_versions(members, model) {
                plans.push(self.build_plan(config, members, model, version));
            }
        }
        plans.sort_by(|left, right| left.sort_key().cmp(&right.sort_key()));
        self.plans = plans;
        self.config = config.clone();
        self.members = members.clone();
        let units = WorkUnits::default();
        let nodes = self.plans.iter().flat_map(|plan| &plan.nodes);
        let rates = nodes.map(|node| {
            let rate = units.per_second(node.tokens_per_second);
            (node.endpoint.clone(), rate)
        });
        self.picker.set_endpoints(rates);
    }

    /// Chooses a route; see [`RoutingState::choose_route`](super::RoutingState::choose_route).
    pub(super) fn choose_route(
        &mut self,
        order: &StreamOrder,
        units: u64,
        excluded: &[EndpointName],
        repair: Option<(&ChainRoute, usize)>,
        now: MilliTime,
    ) -> Option<ChainRoute> {
        self.seed = mix_seed(self.seed);
        let plan = self.find_plan(&order.model, order.version)?;
        if let Some((route, failed)) = repair
            && let Some(route) = self.replace_stage(plan, route, failed, units, excluded, now)
        {
            return Some(route);
        }
        let chooser = self.chooser(plan, excluded, now);
        let all_layers = LayerRange::new(0, plan.plan.layers());
        // If excluded endpoints leave no route in the plan, endpoints to which the plan assigns no
        // flow may still form one.
        let stages = chooser
            .choose(units, self.seed)
            .or_else(|| chooser.choose_replacement(all_layers, units))?;
        let stages = self.resolve_addresses(stages)?;
        Some(ChainRoute { stages })
    }

    /// Adds the work of a request to the endpoints of its route, and removes it from its previous
    /// route.
    pub(super) fn add_request(&mut self, request: &RequestIdent, route: &ChainRoute, units: u64) {
        self.remove_request(request);
        let endpoints: Vec<EndpointName> = route
            .stages
            .iter()
            .map(|stage| stage.endpoint.clone())
            .collect();
        for endpoint in &endpoints {
            self.picker.add_work(endpoint, units);
        }
        let work = RequestWork {
            request: request.clone(),
            units,
            endpoints,
        };
        if let Err(index) = self.work_index(request) {
            self.active_work.insert(index, work);
        }
    }

    /// Removes the work of a request from the endpoints of its route.
    pub(super) fn remove_request(&mut self, request: &RequestIdent) {
        if let Ok(index) = self.work_index(request) {
            let work = self.active_work.remove(index);
            for endpoint in &work.endpoints {
                self.picker.remove_work(endpoint, work.units);
            }
        }
    }

    fn work_index(&self, request: &RequestIdent) -> Result<usize, usize> {
        self.active_work
            .binary_search_by(|work| work.request.cmp(request))
    }

    /// Chooses a model version; see
    /// [`RoutingState::choose_version`](super::RoutingState::choose_version).
    pub(super) fn choose_version(&self, order: &StreamOrder) -> u32 {
        let has_route = |version| {
            let plan = self.find_plan(&order.model, version);
            plan.is_some_and(|plan| plan.plan.bound() > 0)
        };
        if !order.sent.is_empty() && has_route(order.version) {
            return order.version;
        }
        let Some(model) = self.config.model(&order.model) else {
            return order.version;
        };
        let versions = candidate_versions(&self.members, model);
        let served = versions.into_iter().find(|version| has_route(*version));
        served.unwrap_or(model.version)
    }

    fn find_plan(&self, model: &ModelName, version: u32) -> Option<&ModelPlan> {
        let index = self
            .plans
            .binary_search_by(|plan| plan.sort_key().cmp(&(model, version)))
            .ok()?;
        Some(&self.plans[index])
    }

    fn build_plan(
        &self,
        config: &ConfigState,
        members: &MemberTable,
        model: &ModelSpec,
        version: u32,
    ) -> ModelPlan {
        let usable = usable_nodes(config, members, model, version);
        let nodes = EndpointSubset::default().select(&self.entry, &usable);
        match self.find_plan(&model.name, version) {
            Some(held) if held.nodes == nodes && held.plan.layers() == model.layers => held.clone(),
            _ => ModelPlan::new(model, version, nodes),
        }
    }

    fn chooser<'a>(
        &'a self,
        plan: &'a ModelPlan,
        excluded: &'a [EndpointName],
        now: MilliTime,
    ) -> RouteChooser<'a> {
        RouteChooser {
            plan: &plan.plan,
            picker: &self.picker,
            excluded,
            now,
        }
    }

    fn replace_stage(
        &self,
        plan: &ModelPlan,
        route: &ChainRoute,
        failed: usize,
        units: u64,
        excluded: &[EndpointName],
        now: MilliTime,
    ) -> Option<ChainRoute> {
        let lost = route.stages.get(failed)?;
        let mut unusable = excluded.to_vec();
        unusable.extend(route.stages.iter().map(|stage| stage.endpoint.clone()));
        let chooser = self.chooser(plan, &unusable, now);
        let replaced = self.resolve_addresses(chooser.choose_replacement(lost.range, units)?)?;
        let mut stages = route.stages.clone();
        stages.splice(failed..=failed, replaced);
        Some(ChainRoute { stages })
    }

    fn resolve_addresses(
        &self,
        stages: Vec<(EndpointName, LayerRange)>,
    ) -> Option<Vec<RouteStage>> {
        let resolved = stages.into_iter().map(|(endpoint, range)| {
            let address = self.members.get(endpoint.as_str())?.address.clone();
            Some(RouteStage {
                endpoint,
                address,
                range,
            })
        });
        resolved.collect()
    }
}
