//! Guards against engines that come to a zone, or back to it, and raise its room by less than they could.

mod chain_support;

use dandelionroad_core::chain::PlacementEngine;
use dandelionroad_core::relay::ModelShape;
use dandelionroad_core::stream::LayerRange;

use crate::chain_support::carry_out;
use crate::chain_support::carry_out_for;
use crate::chain_support::check_memory;
use crate::chain_support::engine;
use crate::chain_support::fleet;
use crate::chain_support::roomy_shape;

/// Returns the tokens for which the scarcest layer of a zone has room.
fn least_room(shape: &ModelShape, engines: &[PlacementEngine], zone: &str) -> f64 {
    let mut room = vec![0.0; usize::from(shape.layers)];
    for engine in engines.iter().filter(|engine| engine.zone == zone) {
        let memory = shape.memory_mb(&engine.kind);
        let held = engine.layers.len().max(1);
        for layer in engine.layers.first..engine.layers.end {
            room[usize::from(layer)] += shape.kv_capacity_tokens(memory, held);
        }
    }
    room.into_iter().fold(f64::INFINITY, f64::min)
}

/// Replays the loss of two neighbors in a chain that come back empty, one after the other: their ranges of fixed sizes left a layer or two
/// between them with half of the room, which limited the zone for the rest of the day.
#[test]
fn orders_refill_lost_neighbors() {
    let shape = roomy_shape();
    let mut whole = fleet(&[("a", "large", 1), ("a", "middle", 6), ("a", "small", 6)]);
    carry_out_for(&shape, &mut whole);
    let before = least_room(&shape, &whole, "a");
    let numbers = 0..whole.len();
    let pairs = numbers
        .clone()
        .flat_map(|left| numbers.clone().map(move |right| (left, right)));
    let is_joined = |pair: &(usize, usize)| whole[pair.0].layers.end == whole[pair.1].layers.first;
    let pairs: Vec<(usize, usize)> = pairs.filter(is_joined).collect();
    assert!(pairs.len() >= 10);
    for (left, right) in pairs {
        for pair in [[left, right], [right, left]] {
            let mut engines = whole.clone();
            for index in pair {
                engines[index].layers = LayerRange::new(0, 0);
            }
            // One comes back after the other.
            let mut first = engines.clone();
            first.remove(pair[1]);
            carry_out_for(&shape, &mut first);
            for engine in &mut engines {
                let placed = first.iter().find(|placed| placed.id == engine.id);
                placed
                    .into_iter()
                    .for_each(|placed| engine.layers = placed.layers);
            }
            carry_out_for(&shape, &mut engines);
            check_memory(&engines);
            let after = least_room(&shape, &engines, "a");
            assert!(
                after >= 0.8 * before,
                "{pair:?}: {after} of {before} tokens"
            );
        }
    }
}

/// Guards against engines that are left over from the groups and hold next to nothing: they stand in for
/// lost ones only with whole ranges.
#[test]
fn orders_spare_engines_hold_ranges() {
    let mut engines = fleet(&[("a", "large", 2), ("a", "middle", 2), ("a", "small", 5)]);
    carry_out(&mut engines);
    for engine in &engines {
        assert!(engine.layers.len() >= 8, "{engine:?}");
    }
}

/// Replays an engine that is added to a zone whose spare ones double all layers but one: it got that
/// layer alone, and its memory was idle (drawn day fresh-9fce of Lilypad, second 26.5).
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
    carry_out(&mut engines);
    let added = engines.last().unwrap();
    assert!(added.layers.len() >= 8, "{added:?}");
}
