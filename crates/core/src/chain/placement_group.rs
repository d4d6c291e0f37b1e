use crate::relay::ModelShape;
use crate::stream::LayerRange;

use super::PlacementEngine;
use super::PlacementOrder;

/// Returns the ranges of engines that cover the model together, in proportion to their memory.
///
/// With shares in proportion to memory, all parts have room for the same number of tokens; the part
/// with the least room limits a chain. Returns none if the memory does not hold the model.
pub(super) fn split_layers(
    shape: &ModelShape,
    engines: &[&PlacementEngine],
) -> Option<Vec<PlacementOrder>> {
    let memory =
        |engine: &PlacementEngine| shape.kind(&engine.kind).map_or(0.0, |kind| kind.memory_mb);
    let total: f64 = engines.iter().map(|engine| memory(engine)).sum();
    let mut orders = Vec::new();
    let mut taken = 0.0;
    let mut first = 0;
    for engine in engines {
        taken += memory(engine);
        let end = (f64::from(shape.layers) * taken / total.max(1e-9)).round() as u16;
        let layers = LayerRange::new(first, end);
        if layers.len() > shape.max_layers(memory(engine)) {
            return None;
        }
        if !layers.is_empty() {
            orders.push(PlacementOrder {
                id: engine.id.clone(),
                layers,
            });
        }
        first = end;
    }
    (first == shape.layers).then_some(orders)
}
