//! Guards against engines that join a zone, or restart in it, and raise its capacity by less than they
//! could.

mod chain_support;

use dandelionroad_core::chain::PlacementEngine;
use dandelionroad_core::relay::ModelShape;
use dandelionroad_core::stream::LayerRange;

use crate::chain_support::apply_orders;
use crate::chain_support::apply_orders_for;
use crate::chain_support::check_memory;
use crate::chain_support::engine;
use crate::chain_support::fleet;
use crate::chain_support::small_token_shape;

/// Returns the tokens of context for which a zone has memory at its scarcest layer.
fn min_capacity(shape: &ModelShape, engines: &[PlacementEngine], zone: &str) -> f64 {
    let mut capacity = vec![0.0; usize::from(shape.layers)];
    for engine in engines.iter().filter(|engine| engine.zone == zone) {
        let memory = shape.memory_mb(&engine.kind);
        let held = engine.layers.len().max(1);
        for layer in engine.layers.first..engine.layers.end {
            capacity[usize::from(layer)] += shape.kv_capacity_tokens(memory, held);
        }
    }
    capacity.into_iter().fold(f64::INFINITY, f64::min)
}

/// Guards against a scarce layer that remains when two neighbors in a chain restart empty, one after the
/// other. With ranges of fixed sizes, a layer or two between them had half of the capacity, which limited
/// the zone for the rest of the day.
#[test]
fn orders_refill_lost_neighbors() {
    let shape = small_token_shape();
    let mut covered = fleet(&[("a", "large", 1), ("a", "middle", 6), ("a", "small", 6)]);
    apply_orders_for(&shape, &mut covered);
    let before = min_capacity(&shape, &covered, "a");
    let numbers = 0..covered.len();
    let pairs = numbers
        .clone()
        .flat_map(|left| numbers.clone().map(move |right| (left, right)));
    let is_joined =
        |pair: &(usize, usize)| covered[pair.0].layers.end == covered[pair.1].layers.first;
    let pairs: Vec<(usize, usize)> = pairs.filter(is_joined).collect();
    assert!(pairs.len() >= 10);
    for (left, right) in pairs {
        for pair in [[left, right], [right, left]] {
            let mut engines = covered.clone();
            for index in pair {
                engines[index].layers = LayerRange::new(0, 0);
            }
            // The second engine restarts after the first one has its layers.
            let mut first = engines.clone();
            first.remove(pair[1]);
            apply_orders_for(&shape, &mut first);
            for engine in &mut engines {
                let placed = first.iter().find(|placed| placed.id == engine.id);
                placed
                    .into_iter()
                    .for_each(|placed| engine.layers = placed.layers);
            }
            apply_orders_for(&shape, &mut engines);
            check_memory(&engines);
            let after = min_capacity(&shape, &engines, "a");
            assert!(
                after >= 0.8 * before,
                "engines {pair:?}: {after} of {before} tokens after the restarts"
            );
        }
    }
}

/// Guards against spare engines with only a few layers: they can replace lost engines only if they hold
/// whole ranges.
#[test]
fn orders_spare_engines_hold_ranges() {
    let mut engines = fleet(&[("a", "large", 2), ("a", "middle", 2), ("a", "small", 5)]);
    apply_orders(&mut engines);
    for engine in &engines {
        assert!(engine.layers.len() >= 8, "{engine:?}");
    }
}

/// Guards against an added engine that gets a single layer, so that its memory is idle. This
/// happened in a zone whose spare engines held second copies of all layers but one (second 26.5 of
/// the random day fresh-9fce of Lilypad).
#[test]
fn orders_added_engine_holds_range() {
    let mut engines = fleet(&[("a", "large", 1), ("a", "middle", 3), ("a", "small", 8)]);
    let ranges = [
        (0, 29),
        (29, 46),
        (46, 63),
        (63, 80),
        (0, 10),
        (10, 20),
        (20, 30),
        (30, 40),
        (40, 50),
        (50, 60),
        (60, 69),
        (70, 80),
    ];
    for (engine, (first, end)) in engines.iter_mut().zip(ranges) {
        engine.layers = LayerRange::new(first, end);
    }
    engines.push(engine(99, "a", "middle"));
    apply_orders(&mut engines);
    let added = engines.last().unwrap();
    assert!(added.layers.len() >= 8, "{added:?}");
}
