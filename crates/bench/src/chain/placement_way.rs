use std::str::FromStr;

use dandelionroad_core::chain::PlacementEngine;
use dandelionroad_core::chain::PlacementPlanner;
use dandelionroad_core::chain::RequestProfile;
use dandelionroad_core::chain::ThroughputBound;
use dandelionroad_core::relay::ModelShape;
use dandelionroad_core::stream::LayerRange;

/// The moves that the search tries without a gain before it ends.
const SEARCH_TRIES: usize = 200;

/// A way to give layers to engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlacementWay {
    /// Each group of a zone split evenly by layers, within the memory.
    Even,
    /// Each group split in proportion to the speed of the accelerators, within the memory.
    Pace,
    /// Layers added one at a time where the bound of the zone is least.
    Greedy,
    /// The product's plan: groups of a zone with the greatest least room.
    Plan,
    /// The product's plan, improved by moves of single layers that raise the bound.
    Search,
}

impl PlacementWay {
    /// All ways.
    pub const ALL: [PlacementWay; 5] = [
        PlacementWay::Even,
        PlacementWay::Pace,
        PlacementWay::Greedy,
        PlacementWay::Plan,
        PlacementWay::Search,
    ];

    /// Returns the name on the command line.
    pub const fn as_str(self) -> &'static str {
        match self {
            PlacementWay::Even => "even",
            PlacementWay::Pace => "pace",
            PlacementWay::Greedy => "greedy",
            PlacementWay::Plan => "plan",
            PlacementWay::Search => "search",
        }
    }

    /// Gives layers to engines that hold none.
    pub fn place(
        self,
        shape: &ModelShape,
        engines: &[PlacementEngine],
        demand: &RequestProfile,
    ) -> Vec<PlacementEngine> {
        let plan = planned(shape, engines);
        match self {
            PlacementWay::Plan => plan,
            PlacementWay::Even => by_weight(shape, &plan, |_| 1.0),
            PlacementWay::Pace => by_weight(shape, &plan, |engine| {
                let kind = shape.kind(&engine.kind);
                kind.map_or(0.0, |kind| 1.0 / kind.step_factor.max(1e-9))
            }),
            PlacementWay::Greedy => greedy(shape, engines),
            PlacementWay::Search => search(shape, plan, demand),
        }
    }
}

impl FromStr for PlacementWay {
    type Err = String;

    fn from_str(text: &str) -> Result<PlacementWay, String> {
        let found = PlacementWay::ALL
            .into_iter()
            .find(|way| way.as_str() == text);
        found.ok_or_else(|| format!("unknown way {text}"))
    }
}

fn planned(shape: &ModelShape, engines: &[PlacementEngine]) -> Vec<PlacementEngine> {
    let mut placed = engines.to_vec();
    for order in PlacementPlanner::new(shape).orders(engines) {
        let found = placed.iter_mut().find(|engine| engine.id == order.id);
        found
            .into_iter()
            .for_each(|engine| engine.layers = order.layers);
    }
    placed
}

fn most_layers(shape: &ModelShape, engine: &PlacementEngine) -> u16 {
    let memory_mb = shape.memory_mb(&engine.kind);
    // The last layer that fits leaves hardly any room for requests.
    shape.max_layers(memory_mb).saturating_sub(1)
}

/// Splits each group of a plan anew, in proportion to a weight of its engines.
fn by_weight(
    shape: &ModelShape,
    plan: &[PlacementEngine],
    weight: impl Fn(&PlacementEngine) -> f64,
) -> Vec<PlacementEngine> {
    let mut placed = plan.to_vec();
    let mut order: Vec<usize> = (0..placed.len()).collect();
    order.sort_by(|left, right| plan[*left].zone.cmp(&plan[*right].zone));
    let mut group: Vec<usize> = Vec::new();
    let mut twins: Vec<(usize, usize)> = Vec::new();
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
                twins.push((index, head));
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
    for (twin, head) in twins {
        placed[twin].layers = placed[head].layers;
    }
    placed
}

fn split_group(
    shape: &ModelShape,
    placed: &mut [PlacementEngine],
    group: &[usize],
    weight: impl Fn(&PlacementEngine) -> f64,
) {
    let mut counts = vec![0_u16; group.len()];
    for _ in 0..shape.layers {
        let open = (0..group.len())
            .filter(|part| counts[*part] < most_layers(shape, &placed[group[*part]]));
        let load =
            |part: &usize| f64::from(counts[*part] + 1) / weight(&placed[group[*part]]).max(1e-9);
        let Some(least) = open.min_by(|left, right| load(left).total_cmp(&load(right))) else {
            return;
        };
        counts[least] += 1;
    }
    let mut first = 0;
    for (index, count) in group.iter().zip(counts) {
        placed[*index].layers = LayerRange::new(first, first + count);
        first += count;
    }
}

/// Gives each engine in turn a range that begins at the layer with the least capacity of its zone.
fn greedy(shape: &ModelShape, engines: &[PlacementEngine]) -> Vec<PlacementEngine> {
    let mut placed = engines.to_vec();
    let mut order: Vec<usize> = (0..placed.len()).collect();
    let memory = |index: &usize| shape.memory_mb(&engines[*index].kind);
    order.sort_by(|left, right| memory(right).total_cmp(&memory(left)));
    for index in order {
        let zone = placed[index].zone.clone();
        let size = most_layers(shape, &placed[index]).min(shape.layers) * 4 / 5;
        let mut room = vec![0.0; usize::from(shape.layers)];
        for engine in placed.iter().filter(|engine| engine.zone == zone) {
            let held = engine.layers.len().max(1);
            let tokens = shape.kv_capacity_tokens(shape.memory_mb(&engine.kind), held);
            for layer in engine.layers.first..engine.layers.end {
                room[usize::from(layer)] += tokens;
            }
        }
        let sum = |first: &u16| -> f64 {
            room[usize::from(*first)..usize::from(*first + size)]
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

/// Moves single layers between neighbors as long as the bound of their zone rises.
fn search(
    shape: &ModelShape,
    plan: Vec<PlacementEngine>,
    demand: &RequestProfile,
) -> Vec<PlacementEngine> {
    let bound = ThroughputBound::new(shape);
    let mut zones: Vec<String> = plan.iter().map(|engine| engine.zone.clone()).collect();
    zones.sort();
    zones.dedup();
    let mut placed = plan;
    for zone in zones {
        let mut best = bound.zone_rate(&placed, &zone, demand);
        let own: Vec<usize> = (0..placed.len())
            .filter(|index| placed[*index].zone == zone && !placed[*index].layers.is_empty())
            .collect();
        let mut failed = 0;
        let mut step = 0;
        while failed < SEARCH_TRIES.min(2 * own.len() * own.len()) {
            let index = own[step / 2 % own.len()];
            let grows_down = step % 2 == 0;
            step += 1;
            let mut moved = placed.clone();
            if !move_layer(shape, &mut moved, index, grows_down, &zone) {
                failed += 1;
                continue;
            }
            let found = bound.zone_rate(&moved, &zone, demand);
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

/// Gives an engine one layer more at one end, and takes it from a neighbor that ends there.
fn move_layer(
    shape: &ModelShape,
    placed: &mut [PlacementEngine],
    index: usize,
    grows_down: bool,
    zone: &str,
) -> bool {
    let layers = placed[index].layers;
    if layers.len() >= most_layers(shape, &placed[index]) {
        return false;
    }
    let bound = if grows_down { layers.first } else { layers.end };
    let neighbor = (0..placed.len()).find(|other| {
        let theirs = placed[*other].layers;
        let meets = if grows_down { theirs.end } else { theirs.first };
        placed[*other].zone == zone && meets == bound && theirs.len() > 1
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
