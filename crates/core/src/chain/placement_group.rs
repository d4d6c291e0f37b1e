use crate::relay::ModelShape;
use crate::stream::LayerRange;

use super::PlacementEngine;
use super::PlacementOrder;

/// The halvings of the interval in which the room of a group is sought; enough for one request in a
/// million.
const ROOM_STEPS: u32 = 40;

/// Returns the ranges of engines that cover the model together, with the most room at the part that
/// has the least.
///
/// The part with the least room limits a chain. Rounded shares of the memory would do for small
/// layers; with layers of a twelfth of an accelerator's memory, one layer more takes a third of its
/// room. Returns none if the memory does not hold the model.
pub(super) fn split_layers(
    shape: &ModelShape,
    engines: &[&PlacementEngine],
) -> Option<Vec<PlacementOrder>> {
    let memory =
        |engine: &PlacementEngine| shape.kind(&engine.kind).map_or(0.0, |kind| kind.memory_mb);
    let memories: Vec<f64> = engines.iter().map(|engine| memory(engine)).collect();
    let counts = layer_counts(shape, &memories)?;
    let mut orders = Vec::new();
    let mut first = 0;
    for (engine, count) in engines.iter().zip(counts) {
        let layers = LayerRange::new(first, first + count);
        if !layers.is_empty() {
            orders.push(PlacementOrder {
                id: engine.id.clone(),
                layers,
            });
        }
        first += count;
    }
    Some(orders)
}

/// Returns how many layers accelerators of these memories hold, so that the least room is greatest.
fn layer_counts(shape: &ModelShape, memories: &[f64]) -> Option<Vec<u16>> {
    let token_mb = shape.token_bytes / 1e6 / f64::from(shape.layers.max(1));
    // Each holds as many layers as leave room for `tokens` at each of them.
    let counts = |tokens: f64| -> Vec<u16> {
        let layer_mb = shape.layer_mb + tokens * token_mb;
        let count = |memory: &f64| shape.max_layers(memory * shape.layer_mb / layer_mb.max(1e-9));
        memories.iter().map(count).collect()
    };
    let covers = |counts: &[u16]| {
        let held: u32 = counts.iter().map(|count| u32::from(*count)).sum();
        held >= u32::from(shape.layers)
    };
    if !covers(&counts(0.0)) {
        return None;
    }
    let total: f64 = memories.iter().sum();
    let (mut low, mut high) = (0.0, total / token_mb.max(1e-12));
    for _ in 0..ROOM_STEPS {
        let middle = (low + high) / 2.0;
        match covers(&counts(middle)) {
            true => low = middle,
            false => high = middle,
        }
    }
    let mut found = counts(low);
    let held: u32 = found.iter().map(|count| u32::from(*count)).sum();
    for _ in u32::from(shape.layers)..held {
        // What is too much is taken from the part with the least room.
        let room = |index: &usize| shape.room_units(memories[*index], found[*index]);
        let tokens = |index: &usize| room(index) / f64::from(found[*index].max(1));
        let holding = (0..found.len()).filter(|index| found[*index] > 0);
        let least = holding.min_by(|left, right| tokens(left).total_cmp(&tokens(right)))?;
        found[least] -= 1;
    }
    Some(found)
}
