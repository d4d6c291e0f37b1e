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
use super::model_plan::served_versions;
use super::model_plan::usable_nodes;
use super::request_work::RequestWork;

/// What the routing of an entry remembers.
#[derive(Clone, Debug)]
pub(super) struct RoutingTables {
    pub(super) picker: EndpointPicker,
    entry: String,
    seed: u64,
    config: Arc<ConfigState>,
    members: Arc<MemberTable>,
    /// Sorted by model and version.
    plans: Vec<ModelPlan>,
    /// Sorted by request.
    works: Vec<RequestWork>,
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
            works: Vec::new(),
        }
    }

    /// Takes the present configuration and members; unchanged plans are kept.
    pub(super) fn refresh(&mut self, config: &Arc<ConfigState>, members: &Arc<MemberTable>) {
        if Arc::ptr_eq(&self.config, config) && Arc::ptr_eq(&self.members, members) {
            return;
        }
        let mut plans = Vec::new();
        for model in &config.models {
            for version in served_versions(members, model) {
                plans.push(self.plan_of(config, members, model, version));
            }
        }
        plans.sort_by(|left, right| left.key().cmp(&right.key()));
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
        kept: Option<(&ChainRoute, usize)>,
        now: MilliTime,
    ) -> Option<ChainRoute> {
        self.seed = mix_seed(self.seed);
        let plan = self.plan(&order.model, order.version)?;
        if let Some((route, failed)) = kept
            && let Some(route) = self.replace_stage(plan, route, failed, units, excluded, now)
        {
            return Some(route);
        }
        let chooser = self.chooser(plan, excluded, now);
        let whole = LayerRange::new(0, plan.plan.layers());
        // Without the excluded endpoints a route may need endpoints that carry no flow.
        let stages = chooser
            .choose(units, self.seed)
            .or_else(|| chooser.choose_replacement(whole, units))?;
        let stages = self.addressed(stages)?;
        Some(ChainRoute { stages })
    }

    /// Counts the work of a request at the endpoints of its route, in place of its last route.
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
            self.works.insert(index, work);
        }
    }

    /// Removes the work of a request.
    pub(super) fn remove_request(&mut self, request: &RequestIdent) {
        if let Ok(index) = self.work_index(request) {
            let work = self.works.remove(index);
            for endpoint in &work.endpoints {
                self.picker.remove_work(endpoint, work.units);
            }
        }
    }

    fn work_index(&self, request: &RequestIdent) -> Result<usize, usize> {
        self.works
            .binary_search_by(|work| work.request.cmp(request))
    }

    /// Returns the version that a request is to run with.
    ///
    /// A request that has sent tokens keeps its version as long as a route serves it.
    pub(super) fn choose_version(&self, order: &StreamOrder) -> u32 {
        let has_route = |version| {
            let plan = self.plan(&order.model, version);
            plan.is_some_and(|plan| plan.plan.bound() > 0)
        };
        if !order.sent.is_empty() && has_route(order.version) {
            return order.version;
        }
        let Some(model) = self.config.model(&order.model) else {
            return order.version;
        };
        let versions = served_versions(&self.members, model);
        let served = versions.into_iter().find(|version| has_route(*version));
        served.unwrap_or(model.version)
    }

    fn plan(&self, model: &ModelName, version: u32) -> Option<&ModelPlan> {
        let index = self
            .plans
            .binary_search_by(|plan| plan.key().cmp(&(model, version)))
            .ok()?;
        Some(&self.plans[index])
    }

    fn plan_of(
        &self,
        config: &ConfigState,
        members: &MemberTable,
        model: &ModelSpec,
        version: u32,
    ) -> ModelPlan {
        let usable = usable_nodes(config, members, model, version);
        let nodes = EndpointSubset::default().select(&self.entry, &usable);
        match self.plan(&model.name, version) {
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
        let replaced = self.addressed(chooser.choose_replacement(lost.range, units)?)?;
        let mut stages = route.stages.clone();
        stages.splice(failed..=failed, replaced);
        Some(ChainRoute { stages })
    }

    fn addressed(&self, stages: Vec<(EndpointName, LayerRange)>) -> Option<Vec<RouteStage>> {
        let addressed = stages.into_iter().map(|(endpoint, range)| {
            let address = self.members.get(endpoint.as_str())?.address.clone();
            Some(RouteStage {
                endpoint,
                address,
                range,
            })
        });
        addressed.collect()
    }
}
