use std::str::FromStr;

use dandelionroad_core::chain::PlacementEngine;
use dandelionroad_core::chain::PlacementPlanner;
use dandelionroad_core::chain::RequestProfile;
use dandelionroad_core::chain::ThroughputBound;
use dandelionroad_core::relay::AcceleratorKind;
use dandelionroad_core::relay::ModelShape;
use dandelionroad_core::stream::LayerRange;

/// The maximum number of consecutive moves without an improvement before the search ends.
const MAX_FAILED_MOVES: usize = 200;

/// A strategy to assign layers to engines.
///
/// The simple strategies are baselines for the planner of the core, and the search shows how far it is
/// from a better placement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlacementStrategy {
    /// The groups of the planner, with equal numbers of layers for all engines of a group as far as their
    /// memory allows.
    Even,
    /// The groups of the planner, with layers in proportion to the decode speed of the accelerators as far
    /// as their memory allows.
    Pace,
    /// One engine after the other gets a range where its zone has the least KV capacity.
    Greedy,
    /// The assignment of [`PlacementPlanner`].
    Plan,
    /// The assignment of the planner, with groups of engines of similar memory instead of similar speed.
    ByMemory,
    /// The assignment of the planner, with groups of engines of similar speed per memory.
    BySpeedPerMemory,
    /// The assignment of the planner, with engines of all kinds in each group.
    Mixed,
    /// The assignment of [`PlacementPlanner`], improved by moves of single layers that raise the throughput
    /// bound.
    Search,
}

impl PlacementStrategy {
    /// All strategies.
    pub const ALL: [PlacementStrategy; 8] = [
        PlacementStrategy::Even,
        PlacementStrategy::Pace,
        PlacementStrategy::Greedy,
        PlacementStrategy::Plan,
        PlacementStrategy::ByMemory,
        PlacementStrategy::BySpeedPerMemory,
        PlacementStrategy::Mixed,
        PlacementStrategy::Search,
    ];

    /// Returns the name on the command line.
    pub const fn as_str(self) -> &'static str {
        match self {
            PlacementStrategy::Even => "even",
            PlacementStrategy::Pace => "pace",
            PlacementStrategy::Greedy => "greedy",
            PlacementStrategy::Plan => "plan",
            PlacementStrategy::ByMemory => "by-memory",
            PlacementStrategy::BySpeedPerMemory => "by-speed-per-memory",
            PlacementStrategy::Mixed => "mixed",
            PlacementStrategy::Search => "search",
        }
    }

    /// Assigns layers to engines that hold none.
    ///
    /// `profile` is the request for which the search compares throughput bounds.
    pub fn place(
        self,
        shape: &ModelShape,
        engines: &[PlacementEngine],
        profile: &RequestProfile,
    ) -> Vec<PlacementEngine> {
        let plan = apply_plan(shape, engines);
        match self {
            PlacementStrategy::Plan => plan,
            PlacementStrategy::Even => split_by_weight(shape, &plan, |_| 1.0),
            PlacementStrategy::Pace => split_by_weight(shape, &plan, |engine| {
                let kind = shape.kind(&engine.kind);
                kind.map_or(0.0, |kind| 1.0 / kind.step_factor.max(1e-9))
            }),
            PlacementStrategy::Greedy => place_greedily(shape, engines),
            PlacementStrategy::ByMemory => {
                plan_by_key(shape, engines, |kind| 1.0 / kind.memory_mb.max(1e-9))
            }
            PlacementStrategy::BySpeedPerMemory => {
                plan_by_key(shape, engines, |kind| kind.step_factor * kind.memory_mb)
            }
            PlacementStrategy::Mixed => plan_mixed(shape, engines),
            PlacementStrategy::Search => search(shape, plan, profile),
        }
    }
}

impl FromStr for PlacementStrategy {
    type Err = String;

    fn from_str(text: &str) -> Result<PlacementStrategy, String> {
        let found = PlacementStrategy::ALL
            .into_iter()
            .find(|strategy| strategy.as_str() == text);
        found.ok_or_else(|| {
            let names = PlacementStrategy::ALL.map(PlacementStrategy::as_str);
            let names = names.join(", ");
            format!("unknown placement strategy {text:?}; use one of {names}")
        })
    }
}

/// Returns the engines with the layers that the planner orders.
fn apply_plan(shape: &ModelShape, engines: &[PlacementEngine]) -> Vec<PlacementEngine> {
    let mut placed = engines.to_vec();
    for order in PlacementPlanner::new(shape).orders(engines) {
        let found = placed.iter_mut().find(|engine| engine.id == order.id);
        found
            .into_iter()
            .for_each(|engine| engine.layers = order.layers);
    }
    placed
}

/// Returns the plan for engines in the order of `key`, which replaces the step factor of their kinds.
fn plan_by_key(
    shape: &ModelShape,
    engines: &[PlacementEngine],
    key: impl Fn(&AcceleratorKind) -> f64,
) -> Vec<PlacementEngine> {
    let mut ordered = shape.clone();
    for kind in &mut ordered.kinds {
        kind.step_factor = key(kind);
    }
    apply_plan(&ordered, engines)
}

/// Returns the plan for engines in an order in which each kind is spread evenly over its availability zone.
///
/// The planner orders engines with equal step factors by identifier, so that engines get other identifiers while it
/// plans.
fn plan_mixed(shape: &ModelShape, engines: &[PlacementEngine]) -> Vec<PlacementEngine> {
    let mut renamed = engines.to_vec();
    for (index, engine) in engines.iter().enumerate() {
        let is_same =
            |other: &&PlacementEngine| other.zone == engine.zone && other.kind == engine.kind;
        let before = engines[..index].iter().filter(is_same).count();
        let count = engines.iter().filter(is_same).count();
        let position = (before as f64 + 0.5) / count as f64;
        renamed[index].id = format!("{position:.6} {}", engine.id);
    }
    let mut placed = plan_by_key(shape, &renamed, |_| 1.0);
    for (engine, original) in placed.iter_mut().zip(engines) {
        engine.id.clone_from(&original.id);
    }
    placed
}

/// Returns the maximum number of layers that the baselines and the search assign to an engine.
fn max_assigned_layers(shape: &ModelShape, engine: &PlacementEngine) -> u16 {
    let memory_mb = shape.memory_mb(&engine.kind);
    // With the last layer that fits, hardly any KV memory would be left.
    shape.max_layers(memory_mb).saturating_sub(1)
}

/// Redistributes the layers of each group of a plan in proportion to a weight of its engines.
fn split_by_weight(
    shape: &ModelShape,
    plan: &[PlacementEngine],
    weight: impl Fn(&PlacementEngine) -> f64,
) -> Vec<PlacementEngine> {
    let mut placed = plan.to_vec();
    let mut order: Vec<usize> = (0..placed.len()).collect();
    order.sort_by(|left, right| plan[*left].zone.cmp(&plan[*right].zone));
    let mut group: Vec<usize> = Vec::new();
    // Pairs of an engine and the head of its group, for each engine that holds the same layers as the head.
    let mut replicas: Vec<(usize, usize)> = Vec::new();
    for index in order {
        let layers = plan[index].layers;
        if layers.is_empty() {
            continue;
        }
        if layers.first == 0 {
            if let [head] = group[..]
                && plan[head].layers == layers
            {
                // Several engines hold the first layers of the group.
                replicas.push((index, head));
                continue;
            }
            group.clear();
        }
        group.push(index);
        if layers.end == shape.layers {
            split_group(shape, &mut placed, &group, &weight);
            group.clear();
        }
    }
    for (replica, head) in replicas {
        placed[replica].layers = placed[head].layers;
    }
    placed
}

/// Splits the model among the engines of a group.
///
/// Each layer goes to an engine that can still hold it: the one whose number of layers, including this one,
/// divided by its weight is the lowest.
/// Changes nothing if the group has too little memory.
fn split_group(
    shape: &ModelShape,
    placed: &mut [PlacementEngine],
    group: &[usize],
    weight: impl Fn(&PlacementEngine) -> f64,
) {
    let mut counts = vec![0_u16; group.len()];
    for _ in 0..shape.layers {
        let candidates = (0..group.len())
            .filter(|member| counts[*member] < max_assigned_layers(shape, &placed[group[*member]]));
        let load_per_weight = |member: &usize| {
            f64::from(counts[*member] + 1) / weight(&placed[group[*member]]).max(1e-9)
        };
        let Some(lightest) = candidates
            .min_by(|left, right| load_per_weight(left).total_cmp(&load_per_weight(right)))
        else {
            return;
        };
        counts[lightest] += 1;
    }
    let mut first = 0;
    for (index, count) in group.iter().zip(counts) {
        placed[*index].layers = LayerRange::new(first, first + count);
        first += count;
    }
}

/// Assigns a range of layers to one engine after the other, the engine with the largest memory first.
///
/// Each engine gets the range whose layers have the least total KV capacity in its availability zone so far.
/// The range has 80% of the layers that [`max_assigned_layers`] allows, rounded down.
fn place_greedily(shape: &ModelShape, engines: &[PlacementEngine]) -> Vec<PlacementEngine> {
    let mut placed = engines.to_vec();
    let mut order: Vec<usize> = (0..placed.len()).collect();
    let memory = |index: &usize| shape.memory_mb(&engines[*index].kind);
    order.sort_by(|left, right| memory(right).total_cmp(&memory(left)));
    for index in order {
        let zone = placed[index].zone.clone();
        let size = max_assigned_layers(shape, &placed[index]).min(shape.layers) * 4 / 5;
        let mut capacity = vec![0.0; usize::from(shape.layers)];
        for engine in placed.iter().filter(|engine| engine.zone == zone) {
            let held = engine.layers.len().max(1);
            let tokens = shape.kv_capacity_tokens(shape.memory_mb(&engine.kind), held);
            for layer in engine.layers.first..engine.layers.end {
                capacity[usize::from(layer)] += tokens;
            }
        }
        let sum = |first: &u16| -> f64 {
            capacity[usize::from(*first)..usize::from(*first + size)]
                .iter()
                .sum()
        };
        let firsts = 0..=(shape.layers - size);
        let best = firsts.min_by(|left, right| sum(left).total_cmp(&sum(right)));
        let first = best.unwrap_or(0);
        placed[index].layers = LayerRange::new(first, first + size);
    }
    placed
}

/// Moves single layers between neighbors as long as the throughput bound of their zone rises.
fn search(
    shape: &ModelShape,
    plan: Vec<PlacementEngine>,
    profile: &RequestProfile,
) -> Vec<PlacementEngine> {
    let bound = ThroughputBound::new(shape);
    let mut zones: Vec<String> = plan.iter().map(|engine| engine.zone.clone()).collect();
    zones.sort();
    zones.dedup();
    let mut placed = plan;
    for zone in zones {
        let mut best = bound.zone_rate(&placed, &zone, profile);
        let own: Vec<usize> = (0..placed.len())
            .filter(|index| placed[*index].zone == zone && !placed[*index].layers.is_empty())
            .collect();
        let mut failed = 0;
        let mut step = 0;
        while failed < MAX_FAILED_MOVES.min(2 * own.len() * own.len()) {
            let index = own[step / 2 % own.len()];
            let grows_down = step % 2 == 0;
            step += 1;
            let mut moved = placed.clone();
            if !move_layer(shape, &mut moved, index, grows_down, &zone) {
                failed += 1;
                continue;
            }
            let found = bound.zone_rate(&moved, &zone, profile);
            if found > best * 1.000_1 {
                best = found;
                placed = moved;
                failed = 0;
            } else {
                failed += 1;
            }
        }
    }
    placed
}

/// Moves one layer to an engine from a neighbor with the adjacent layers. Returns `false` if there is no
/// such neighbor or the engine lacks memory for the layer.
fn move_layer(
    shape: &ModelShape,
    placed: &mut [PlacementEngine],
    index: usize,
    grows_down: bool,
    zone: &str,
) -> bool {
    let layers = placed[index].layers;
    if layers.len() >= max_assigned_layers(shape, &placed[index]) {
        return false;
    }
    let boundary = if grows_down { layers.first } else { layers.end };
    let neighbor = (0..placed.len()).find(|other| {
        let held = placed[*other].layers;
        let edge = if grows_down { held.end } else { held.first };
        placed[*other].zone == zone && edge == boundary && held.len() > 1
    });
    let Some(neighbor) = neighbor else {
        return false;
    };
    match grows_down {
        true => {
            placed[index].layers.first -= 1;
            placed[neighbor].layers.end -= 1;
        }
        false => {
            placed[index].layers.end += 1;
            placed[neighbor].layers.first += 1;
        }
    }
    true
}
