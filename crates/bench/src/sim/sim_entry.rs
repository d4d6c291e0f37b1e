use dandelionroad_core::admit::RetryBudget;
use dandelionroad_core::admit::WorkUnits;
use dandelionroad_core::ident::EndpointName;
use dandelionroad_core::route::EndpointPicker;
use dandelionroad_core::route::FlowGraph;
use dandelionroad_core::route::FlowLink;
use dandelionroad_core::route::FlowNode;
use dandelionroad_core::route::RouteChooser;
use dandelionroad_core::route::RoutePlan;
use dandelionroad_core::route::mix_seed;
use dandelionroad_core::stream::LayerRange;

use super::Fleet;
use super::RoutePolicy;
use super::sim_clock::milli_time;

/// The routing state of one entry.
pub(super) struct SimEntry {
    pub(super) picker: EndpointPicker,
    pub(super) budget: RetryBudget,
    policy: RoutePolicy,
    layers: u16,
    nodes: Vec<FlowNode>,
    plan: RoutePlan,
    /// The number of outstanding requests of this entry, by engine index.
    outstanding: Vec<u32>,
    /// The number of route choices so far.
    route_choices: u64,
    /// The number of round-robin choices so far, by the first layer of the stage.
    round_robin_counts: Vec<usize>,
    seed: u64,
}

impl SimEntry {
    pub(super) fn new(policy: RoutePolicy, fleet: &Fleet, seed: u64) -> SimEntry {
        let mut entry = SimEntry {
            picker: EndpointPicker::new(),
            budget: RetryBudget::default(),
            policy,
            layers: fleet.layers,
            nodes: Vec::new(),
            plan: RoutePlan::default(),
            outstanding: vec![0; fleet.nodes.len()],
            route_choices: 0,
            round_robin_counts: vec![0; usize::from(fleet.layers)],
            seed,
        };
        entry.set_plan(&fleet.nodes, &fleet.links);
        entry
    }

    /// Updates the rates of the endpoints and the plan after a change of members or links.
    pub(super) fn set_plan(&mut self, nodes: &[FlowNode], links: &[FlowLink]) {
        let units = WorkUnits::default();
        let rates = nodes.iter().map(|node| {
            (
                node.endpoint.clone(),
                units.per_second(node.tokens_per_second),
            )
        });
        self.picker.set_endpoints(rates);
        self.plan = FlowGraph::new(self.layers, nodes, links).plan();
        self.nodes = nodes.to_vec();
    }

    /// Chooses a route without the engines in `excluded`.
    pub(super) fn choose_route(
        &mut self,
        units: u64,
        excluded: &[EndpointName],
        now_us: u64,
    ) -> Option<Vec<(usize, LayerRange)>> {
        self.route_choices += 1;
        let seed = mix_seed(self.seed.wrapping_add(self.route_choices));
        match self.policy {
            RoutePolicy::Flow => {
                let route = self.chooser(excluded, now_us).choose(units, seed)?;
                Some(with_indices(route))
            }
            RoutePolicy::FastestChain => {
                self.highest_scored_chain(excluded, |node, _| node.tokens_per_second)
            }
            RoutePolicy::Random => {
                self.highest_scored_chain(excluded, |_, index| mix_seed(seed ^ index as u64))
            }
            RoutePolicy::RoundRobin => self.choose_round_robin(excluded),
            RoutePolicy::LeastOutstanding => {
                let outstanding = &self.outstanding;
                self.highest_scored_chain(excluded, |_, index| {
                    u64::from(u32::MAX - outstanding[index])
                })
            }
        }
    }

    /// Chooses engines that replace a stage, without those in `excluded`.
    pub(super) fn choose_replacement(
        &self,
        range: LayerRange,
        units: u64,
        excluded: &[EndpointName],
        now_us: u64,
    ) -> Option<Vec<(usize, LayerRange)>> {
        let stages = self
            .chooser(excluded, now_us)
            .choose_replacement(range, units)?;
        Some(with_indices(stages))
    }

    /// Adds the work of a route that is sent, or removes that of a route that has ended.
    pub(super) fn update_load(&mut self, route: &[(usize, LayerRange)], units: u64, is_sent: bool) {
        for (engine, _) in route {
            let name = super::fleet::endpoint_name(*engine);
            if is_sent {
                self.picker.add_work(&name, units);
                self.outstanding[*engine] += 1;
            } else {
                self.picker.remove_work(&name, units);
                self.outstanding[*engine] = self.outstanding[*engine].saturating_sub(1);
            }
        }
    }

    fn chooser<'a>(&'a self, excluded: &'a [EndpointName], now_us: u64) -> RouteChooser<'a> {
        RouteChooser {
            plan: &self.plan,
            picker: &self.picker,
            excluded,
            now: milli_time(now_us),
        }
    }

    /// Builds a chain from the next candidate for each stage.
    fn choose_round_robin(
        &mut self,
        excluded: &[EndpointName],
    ) -> Option<Vec<(usize, LayerRange)>> {
        let mut route = Vec::new();
        let mut first = 0;
        while first < self.layers {
            let candidates: Vec<&FlowNode> = self
                .nodes
                .iter()
                .filter(|node| node.range.first <= first && first < node.range.end)
                .filter(|node| !excluded.contains(&node.endpoint))
                .collect();
            let count = &mut self.round_robin_counts[usize::from(first)];
            *count += 1;
            let node = *candidates.get(*count % candidates.len().max(1))?;
            let range = LayerRange::new(first, node.range.end);
            route.push((Fleet::index(&node.endpoint), range));
            first = range.end;
        }
        Some(route)
    }

    /// Builds a chain, stage by stage, from the engine with the highest score.
    fn highest_scored_chain(
        &self,
        excluded: &[EndpointName],
        score: impl Fn(&FlowNode, usize) -> u64,
    ) -> Option<Vec<(usize, LayerRange)>> {
        let mut route = Vec::new();
        let mut first = 0;
        while first < self.layers {
            let best = self
                .nodes
                .iter()
                .filter(|node| node.range.first <= first && first < node.range.end)
                .filter(|node| !excluded.contains(&node.endpoint))
                .max_by_key(|node| score(node, Fleet::index(&node.endpoint)))?;
            route.push((
                Fleet::index(&best.endpoint),
                LayerRange::new(first, best.range.end),
            ));
            first = best.range.end;
        }
        Some(route)
    }
}

/// Replaces the endpoint names of stages by engine indices.
fn with_indices(stages: Vec<(EndpointName, LayerRange)>) -> Vec<(usize, LayerRange)> {
    stages
        .into_iter()
        .map(|(endpoint, range)| (Fleet::index(&endpoint), range))
        .collect()
}
