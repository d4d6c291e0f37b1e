use crate::relay::ModelShape;
use crate::stream::LayerRange;

use super::PlacementEngine;
use super::PlacementOrder;

/// The halvings of the interval in which the room of a group is sought; enough for one request in a
/// million.
const ROOM_STEPS: u32 = 40;

/// The most engines that hold the first layers of a group together.
const MAX_HEADS: usize = 3;

/// The factor by which a further first engine must raise what a group serves.
///
/// The weights that it doubles make all parts smaller, whose room then varies more.
const HEAD_GAIN: f64 = 1.15;

/// Engines of one group that hold the same layers.
struct GroupPart<'a> {
    engines: Vec<&'a PlacementEngine>,
    /// The memory of each of them, in megabytes.
    memory_mb: f64,
}

/// Returns the ranges of engines that cover the model together, with the most room at the part that
/// has the least.
///
/// The part with the least room limits a chain. Rounded shares of the memory would do for small
/// layers; with layers of a twelfth of an accelerator's memory, one layer more takes a third of its
/// room. An engine takes a limited number of requests as the first of a chain; if the group has room
/// for more, several engines hold its first layers. Returns none if the memory does not hold the
/// model.
pub(super) fn split_layers(
    shape: &ModelShape,
    engines: &[&PlacementEngine],
) -> Option<Vec<PlacementOrder>> {
    let single = group_parts(shape, engines, 1);
    let counts = layer_counts(shape, &single)?;
    let mut best = (single, counts);
    for heads in 2..=MAX_HEADS {
        let parts = group_parts(shape, engines, heads);
        let Some(counts) = layer_counts(shape, &parts) else {
            break;
        };
        let known = group_requests(shape, &best.0, &best.1);
        if group_requests(shape, &parts, &counts) >= known * HEAD_GAIN {
            best = (parts, counts);
        }
    }
    Some(range_orders(&best.0, &best.1))
}

/// Returns how many usual requests a group serves at once, by its memory and its first engines' slots.
fn group_requests(shape: &ModelShape, parts: &[GroupPart<'_>], counts: &[u16]) -> f64 {
    let tokens = shape.mean_tokens();
    let by_memory = least_room(shape, parts, counts) / tokens.max(1.0);
    let heads = parts.first().map_or(1, |part| part.engines.len());
    by_memory.min(f64::from(shape.slots) * heads as f64)
}

/// Returns the parts of a group; the first one has `heads` of the smallest accelerators, if there are as
/// many of one kind.
///
/// Each engine with the same layers costs their weights once more, which is least for small ones.
fn group_parts<'a>(
    shape: &ModelShape,
    engines: &[&'a PlacementEngine],
    heads: usize,
) -> Vec<GroupPart<'a>> {
    let memory = |engine: &PlacementEngine| shape.memory_mb(&engine.kind);
    let mut rest = engines.to_vec();
    let mut parts = Vec::new();
    let smallest = engines
        .iter()
        .min_by(|left, right| memory(left).total_cmp(&memory(right)));
    if let Some(smallest) = smallest
        && heads > 1
    {
        let alike = engines.iter().filter(|engine| engine.kind == smallest.kind);
        let alike: Vec<&PlacementEngine> = alike.copied().take(heads).collect();
        if alike.len() == heads {
            rest.retain(|engine| alike.iter().all(|head| head.id != engine.id));
            parts.push(GroupPart {
                memory_mb: memory(smallest),
                engines: alike,
            });
        }
    }
    parts.extend(rest.into_iter().map(|engine| GroupPart {
        engines: vec![engine],
        memory_mb: memory(engine),
    }));
    parts
}

/// Returns the orders that give consecutive ranges of these lengths to the parts.
fn range_orders(parts: &[GroupPart<'_>], counts: &[u16]) -> Vec<PlacementOrder> {
    let mut orders = Vec::new();
    let mut first = 0;
    for (part, count) in parts.iter().zip(counts) {
        let layers = LayerRange::new(first, first + count);
        if !layers.is_empty() {
            orders.extend(part.engines.iter().map(|engine| PlacementOrder {
                id: engine.id.clone(),
                layers,
            }));
        }
        first += count;
    }
    orders
}

/// Returns the tokens for which a part of `held` layers has room.
fn part_tokens(shape: &ModelShape, part: &GroupPart<'_>, held: u16) -> f64 {
    shape.kv_capacity_tokens(part.memory_mb, held) * part.engines.len() as f64
}

/// Returns the tokens for which the part with the least room has room.
fn least_room(shape: &ModelShape, parts: &[GroupPart<'_>], counts: &[u16]) -> f64 {
    let pairs = parts.iter().zip(counts).filter(|(_, count)| **count > 0);
    let tokens = pairs.map(|(part, count)| part_tokens(shape, part, *count));
    tokens.fold(f64::INFINITY, f64::min)
}

/// Returns how many layers the parts hold, so that the least room is greatest.
fn layer_counts(shape: &ModelShape, parts: &[GroupPart<'_>]) -> Option<Vec<u16>> {
    let token_mb = shape.token_bytes / 1e6 / f64::from(shape.layers.max(1));
    // Each holds as many layers as leave room for `tokens` at each of them.
    let counts = |tokens: f64| -> Vec<u16> {
        let count = |part: &GroupPart<'_>| {
            let own_mb = tokens / part.engines.len().max(1) as f64 * token_mb;
            let layer_mb = shape.layer_mb + own_mb;
            shape.max_layers(part.memory_mb * shape.layer_mb / layer_mb.max(1e-9))
        };
        parts.iter().map(count).collect()
    };
    let sum = |counts: &[u16]| counts.iter().map(|count| u32::from(*count)).sum::<u32>();
    let covers = |counts: &[u16]| sum(counts) >= u32::from(shape.layers);
    if !covers(&counts(0.0)) {
        return None;
    }
    let total: f64 = parts
        .iter()
        .map(|part| part.memory_mb * part.engines.len() as f64)
        .sum();
    let (mut low, mut high) = (0.0, total / token_mb.max(1e-12));
    for _ in 0..ROOM_STEPS {
        let middle = (low + high) / 2.0;
        match covers(&counts(middle)) {
            true => low = middle,
            false => high = middle,
        }
    }
    let mut found = counts(low);
    for _ in u32::from(shape.layers)..sum(&found) {
        // What is too much is taken from the part with the least room.
        let tokens = |index: &usize| part_tokens(shape, &parts[*index], found[*index]);
        let holding = (0..found.len()).filter(|index| found[*index] > 0);
        let least = holding.min_by(|left, right| tokens(left).total_cmp(&tokens(right)))?;
        found[least] -= 1;
    }
    Some(found)
}
