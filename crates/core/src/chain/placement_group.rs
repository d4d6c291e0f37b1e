use crate::relay::ModelShape;
use crate::stream::LayerRange;

use super::PlacementEngine;
use super::PlacementOrder;

/// The bisection steps in the search for the capacity of a group; enough to resolve one request in a
/// million.
const CAPACITY_BISECTION_STEPS: u32 = 40;

/// The maximum number of heads of a group: the engines that hold its first layers.
const MAX_HEADS: usize = 3;

/// The minimum factor by which one more head must raise the capacity of a group to be used.
///
/// The weights that it duplicates reduce the memory for requests at all stages, whose capacity then
/// varies more.
const MIN_CAPACITY_FACTOR: f64 = 1.15;

/// The engines of a group that hold the same layers.
struct GroupStage<'a> {
    engines: Vec<&'a PlacementEngine>,
    /// The memory of each of them, in megabytes.
    memory_mb: f64,
}

/// Divides the model among the engines of a group so that the minimum capacity of its stages is as
/// large as possible, since the stage with the smallest capacity limits the chain.
///
/// Shares in proportion to memory, rounded to whole layers, are good enough only for small layers.
/// If the weights of one layer take 1/12 of an accelerator's memory, an additional layer takes 1/3 of
/// its capacity for requests.
///
/// The first engine of a chain, the head, has a limited number of slots for requests. If the group has
/// memory for more requests, it gets several heads.
///
/// Returns none if the memory does not hold the model.
pub(super) fn split_layers(
    shape: &ModelShape,
    engines: &[&PlacementEngine],
) -> Option<Vec<PlacementOrder>> {
    let single = group_stages(shape, engines, 1);
    let counts = layer_counts(shape, &single)?;
    let mut best = (single, counts);
    for heads in 2..=MAX_HEADS {
        let stages = group_stages(shape, engines, heads);
        let Some(counts) = layer_counts(shape, &stages) else {
            break;
        };
        let known = group_capacity(shape, &best.0, &best.1);
        if group_capacity(shape, &stages, &counts) >= known * MIN_CAPACITY_FACTOR {
            best = (stages, counts);
        }
    }
    Some(range_orders(&best.0, &best.1))
}

/// Returns the number of mean requests that a group can run at once, by its memory and by the slots of
/// its first engines.
fn group_capacity(shape: &ModelShape, stages: &[GroupStage<'_>], counts: &[u16]) -> f64 {
    let tokens = shape.mean_tokens();
    let by_memory = min_capacity(shape, stages, counts) / tokens.max(1.0);
    let heads = stages.first().map_or(1, |stage| stage.engines.len());
    by_memory.min(f64::from(shape.slots) * heads as f64)
}

/// Returns the stages of a group; the first one consists of `heads` engines with the smallest kind of
/// accelerator, if there are enough of them.
///
/// Each additional head duplicates the weights of the first stage. Small engines hold the fewest
/// weights.
fn group_stages<'a>(
    shape: &ModelShape,
    engines: &[&'a PlacementEngine],
    heads: usize,
) -> Vec<GroupStage<'a>> {
    let memory = |engine: &PlacementEngine| shape.memory_mb(&engine.kind);
    let mut rest = engines.to_vec();
    let mut stages = Vec::new();
    let smallest = engines
        .iter()
        .min_by(|left, right| memory(left).total_cmp(&memory(right)));
    if let Some(smallest) = smallest
        && heads > 1
    {
        let same_kind = engines.iter().filter(|engine| engine.kind == smallest.kind);
        let same_kind: Vec<&PlacementEngine> = same_kind.copied().take(heads).collect();
        if same_kind.len() == heads {
            rest.retain(|engine| same_kind.iter().all(|head| head.id != engine.id));
            stages.push(GroupStage {
                memory_mb: memory(smallest),
                engines: same_kind,
            });
        }
    }
    stages.extend(rest.into_iter().map(|engine| GroupStage {
        engines: vec![engine],
        memory_mb: memory(engine),
    }));
    stages
}

/// Returns the orders that assign consecutive ranges with these numbers of layers to the stages.
fn range_orders(stages: &[GroupStage<'_>], counts: &[u16]) -> Vec<PlacementOrder> {
    let mut orders = Vec::new();
    let mut first = 0;
    for (stage, count) in stages.iter().zip(counts) {
        let layers = LayerRange::new(first, first + count);
        if !layers.is_empty() {
            orders.extend(stage.engines.iter().map(|engine| PlacementOrder {
                id: engine.id.clone(),
                layers,
            }));
        }
        first += count;
    }
    orders
}

/// Returns the number of tokens of context for which a stage with `held` layers has memory.
fn stage_tokens(shape: &ModelShape, stage: &GroupStage<'_>, held: u16) -> f64 {
    shape.kv_capacity_tokens(stage.memory_mb, held) * stage.engines.len() as f64
}

/// Returns the minimum capacity of the stages, in tokens of context.
fn min_capacity(shape: &ModelShape, stages: &[GroupStage<'_>], counts: &[u16]) -> f64 {
    let pairs = stages.iter().zip(counts).filter(|(_, count)| **count > 0);
    let tokens = pairs.map(|(stage, count)| stage_tokens(shape, stage, *count));
    tokens.fold(f64::INFINITY, f64::min)
}

/// Returns the numbers of layers that maximize the minimum capacity of the stages; none if their
/// memory does not hold the model.
fn layer_counts(shape: &ModelShape, stages: &[GroupStage<'_>]) -> Option<Vec<u16>> {
    let token_mb = shape.token_bytes / 1e6 / f64::from(shape.layers.max(1));
    // Each stage holds as many layers as possible with memory for `tokens` at each layer.
    let counts = |tokens: f64| -> Vec<u16> {
        let count = |stage: &GroupStage<'_>| {
            let own_mb = tokens / stage.engines.len().max(1) as f64 * token_mb;
            let layer_mb = shape.layer_mb + own_mb;
            shape.max_layers(stage.memory_mb * shape.layer_mb / layer_mb.max(1e-9))
        };
        stages.iter().map(count).collect()
    };
    let sum = |counts: &[u16]| counts.iter().map(|count| u32::from(*count)).sum::<u32>();
    let covers = |counts: &[u16]| sum(counts) >= u32::from(shape.layers);
    if !covers(&counts(0.0)) {
        return None;
    }
    let total: f64 = stages
        .iter()
        .map(|stage| stage.memory_mb * stage.engines.len() as f64)
        .sum();
    let (mut low, mut high) = (0.0, total / token_mb.max(1e-12));
    for _ in 0..CAPACITY_BISECTION_STEPS {
        let middle = (low + high) / 2.0;
        match covers(&counts(middle)) {
            true => low = middle,
            false => high = middle,
        }
    }
    let mut found = counts(low);
    for _ in u32::from(shape.layers)..sum(&found) {
        // Surplus layers are removed from the stage with the smallest capacity.
        let tokens = |index: &usize| stage_tokens(shape, &stages[*index], found[*index]);
        let holding = (0..found.len()).filter(|index| found[*index] > 0);
        let smallest = holding.min_by(|left, right| tokens(left).total_cmp(&tokens(right)))?;
        found[smallest] -= 1;
    }
    Some(found)
}
