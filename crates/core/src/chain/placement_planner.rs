use crate::relay::ModelShape;
use crate::stream::LayerRange;

use super::PlacementEngine;
use super::PlacementOrder;
use super::group_former::GroupFormer;
use super::group_former::MIN_GROUP_REQUESTS;
use super::placement_group::split_layers;
use super::range_finder::RangeFinder;

/// Assigns layer ranges to engines.
///
/// The engines of an availability zone form groups, each of which covers the model once. Groups consist
/// of engines of similar speed, because the slowest accelerator of a chain sets the time of a step, and
/// stay within a zone, because activations that cross zones share one link. Engines that belong to no
/// group, join later or restart without layers get the layers for which their zone has the least capacity.
/// Engines that serve requests move only to close a gap in their zone after a loss.
#[derive(Clone, Copy, Debug)]
pub struct PlacementPlanner<'a> {
    shape: &'a ModelShape,
}

impl<'a> PlacementPlanner<'a> {
    /// Creates a planner for a model.
    pub fn new(shape: &'a ModelShape) -> PlacementPlanner<'a> {
        PlacementPlanner { shape }
    }

    /// Returns the orders for engines without layers and for engines that must move.
    ///
    /// Engines that report layers outside the model hold nothing of it and get no orders.
    pub fn orders(&self, engines: &[PlacementEngine]) -> Vec<PlacementOrder> {
        let mut placed = engines.to_vec();
        placed.retain(|engine| self.shape.contains(engine.layers));
        let mut orders = Vec::new();
        if placed.iter().all(|engine| engine.layers.is_empty()) {
            orders = self.initial_orders(&placed);
            for order in &orders {
                let found = placed.iter_mut().find(|engine| engine.id == order.id);
                found
                    .into_iter()
                    .for_each(|engine| engine.layers = order.layers);
            }
        }
        orders.extend(self.fill(&mut placed));
        orders.extend(self.repair(&mut placed));
        orders
    }

    /// Closes gaps in zones: moves spare engines into them, or lets other engines of the zone take over
    /// the layers.
    ///
    /// Otherwise a permanent loss of one engine would leave all others of its zone idle, since chains
    /// cross zones only within a small budget.
    fn repair(&self, engines: &mut [PlacementEngine]) -> Vec<PlacementOrder> {
        let mut zones: Vec<String> = engines.iter().map(|engine| engine.zone.clone()).collect();
        zones.sort();
        zones.dedup();
        let mut orders = Vec::new();
        for zone in zones {
            orders.extend(self.repair_zone(engines, &zone));
        }
        orders
    }

    /// Returns the moves after which a zone covers the model; none if it covers it already or can't.
    fn repair_zone(&self, engines: &mut [PlacementEngine], zone: &str) -> Vec<PlacementOrder> {
        let mut moved = engines.to_vec();
        let mut orders = Vec::new();
        loop {
            let holders = self.zone_holders(&moved, zone);
            let Some(gap) = first_gap(&holders) else {
                break;
            };
            let spare = self.spare_engine_order(&moved, zone, gap, &holders);
            let found = match spare {
                Some(order) => vec![order],
                None => self.extend_neighbors(&moved, zone, gap),
            };
            if found.is_empty() {
                return self.redistribute_zone(engines, zone);
            }
            for order in &found {
                for engine in moved.iter_mut().filter(|engine| engine.id == order.id) {
                    engine.layers = order.layers;
                    engine.has_pending_order = true;
                }
            }
            orders.extend(found);
        }
        engines.clone_from_slice(&moved);
        orders
    }

    /// Redistributes the model over all engines of a zone that has no chain.
    ///
    /// Returns no orders if their memory does not hold the model or one of them has a pending order.
    fn redistribute_zone(
        &self,
        engines: &mut [PlacementEngine],
        zone: &str,
    ) -> Vec<PlacementOrder> {
        let own = engines.iter().filter(|engine| engine.zone == zone);
        let mut own: Vec<&PlacementEngine> = own.collect();
        if own.iter().any(|engine| engine.has_pending_order) {
            return Vec::new();
        }
        // The engines keep their order by layer, so that each loads few new layers.
        own.sort_by_key(|engine| (engine.layers.first, engine.layers.end));
        let orders = split_layers(self.shape, &own).unwrap_or_default();
        let mut moved = Vec::new();
        for order in orders {
            let found = engines.iter_mut().find(|engine| engine.id == order.id);
            let Some(engine) = found else { continue };
            if engine.layers != order.layers {
                engine.layers = order.layers;
                engine.has_pending_order = true;
                moved.push(order);
            }
        }
        moved
    }

    /// Returns the orders by which the engines before and after a gap take over its layers; none if they
    /// lack memory.
    ///
    /// They continue to serve their present layers while they load. Each further layer goes to the
    /// engine that keeps more memory for requests.
    fn extend_neighbors(
        &self,
        engines: &[PlacementEngine],
        zone: &str,
        gap: LayerRange,
    ) -> Vec<PlacementOrder> {
        let own = || {
            engines.iter().filter(|engine| {
                engine.zone == zone && !engine.has_pending_order && !engine.layers.is_empty()
            })
        };
        let capacity =
            |engine: &&PlacementEngine| self.request_capacity(engine, engine.layers.len());
        let before = own().filter(|engine| engine.layers.end == gap.first);
        let before = before.max_by(|left, right| capacity(left).total_cmp(&capacity(right)));
        let after = own().filter(|engine| engine.layers.first == gap.end);
        let after = after.max_by(|left, right| capacity(left).total_cmp(&capacity(right)));
        let mut rest = gap;
        while !rest.is_empty() {
            let extended = |engine: Option<&PlacementEngine>, added: u16| {
                engine.map_or(0.0, |engine| {
                    self.request_capacity(engine, engine.layers.len() + added + 1)
                })
            };
            let first = extended(before, rest.first - gap.first);
            let last = extended(after, gap.end - rest.end);
            if first.max(last) < MIN_GROUP_REQUESTS {
                return Vec::new();
            }
            match first >= last {
                true => rest.first += 1,
                false => rest.end -= 1,
            }
        }
        let order = |engine: &PlacementEngine, layers| PlacementOrder {
            id: engine.id.clone(),
            layers,
        };
        let first = before
            .filter(|_| rest.first > gap.first)
            .map(|engine| order(engine, LayerRange::new(engine.layers.first, rest.first)));
        let last = after
            .filter(|_| rest.first < gap.end)
            .map(|engine| order(engine, LayerRange::new(rest.first, engine.layers.end)));
        first.into_iter().chain(last).collect()
    }

    /// Returns the number of mean requests for which an engine has memory beside `held` layers.
    fn request_capacity(&self, engine: &PlacementEngine, held: u16) -> f64 {
        let memory = self.shape.memory_mb(&engine.kind);
        self.shape.kv_capacity_tokens(memory, held) / self.shape.mean_tokens().max(1e-9)
    }

    /// Returns the number of engines of a zone that hold each layer.
    fn zone_holders(&self, engines: &[PlacementEngine], zone: &str) -> Vec<u32> {
        let mut holders = vec![0; usize::from(self.shape.layers)];
        for engine in engines.iter().filter(|engine| engine.zone == zone) {
            for layer in engine.layers.first..engine.layers.end {
                holders[usize::from(layer)] += 1;
            }
        }
        holders
    }

    /// Returns an order that moves a spare engine into a gap of its zone; none if the zone has no spare
    /// engine.
    ///
    /// An engine is spare if other engines of the zone hold each of its layers.
    fn spare_engine_order(
        &self,
        engines: &[PlacementEngine],
        zone: &str,
        gap: LayerRange,
        holders: &[u32],
    ) -> Option<PlacementOrder> {
        let is_spare = |engine: &&PlacementEngine| {
            let held = usize::from(engine.layers.first)..usize::from(engine.layers.end);
            let is_own = engine.zone == zone && !engine.has_pending_order && !held.is_empty();
            is_own && holders[held].iter().all(|count| *count > 1)
        };
        // The slowest spare engine moves, since faster ones serve more requests where they are.
        let spare = engines.iter().filter(is_spare).max_by(|left, right| {
            let factors = self.step_factor(left).total_cmp(&self.step_factor(right));
            factors.then_with(|| left.id.cmp(&right.id))
        })?;
        let size = spare.layers.len().min(gap.len());
        Some(PlacementOrder {
            id: spare.id.clone(),
            layers: LayerRange::new(gap.first, gap.first + size),
        })
    }

    /// Assigns layers to engines that are all empty, in groups within zones, or across zones if no zone
    /// can hold the model.
    fn initial_orders(&self, engines: &[PlacementEngine]) -> Vec<PlacementOrder> {
        let mut sorted: Vec<&PlacementEngine> = engines.iter().collect();
        sorted.sort_by(|left, right| {
            let factors = self.step_factor(left).total_cmp(&self.step_factor(right));
            let zones = left.zone.cmp(&right.zone).then(factors);
            zones.then_with(|| left.id.cmp(&right.id))
        });
        let former = GroupFormer::new(self.shape);
        let mut orders = Vec::new();
        for zone in sorted.chunk_by(|left, right| left.zone == right.zone) {
            orders.extend(former.form(zone));
        }
        if orders.is_empty() {
            orders = former.form(&sorted);
        }
        orders
    }

    /// Assigns to each empty engine the layers by which it raises the capacity of its zone the most.
    fn fill(&self, engines: &mut [PlacementEngine]) -> Vec<PlacementOrder> {
        let mut orders = Vec::new();
        for index in 0..engines.len() {
            if !engines[index].layers.is_empty() {
                continue;
            }
            let capacity = self.zone_capacity(engines, &engines[index].zone);
            let kind = &engines[index].kind;
            let same_kind = engines.iter().filter(|engine| engine.kind == *kind);
            let peer_layers = same_kind
                .map(|engine| engine.layers.len())
                .max()
                .unwrap_or(0);
            let finder = RangeFinder::new(self.shape, &capacity, self.shape.memory_mb(kind));
            let Some(layers) = finder.find(peer_layers) else {
                continue;
            };
            engines[index].layers = layers;
            orders.push(PlacementOrder {
                id: engines[index].id.clone(),
                layers,
            });
        }
        orders
    }

    /// Returns, for each layer, the number of tokens of context for which the engines of a zone have
    /// memory. For a zone that holds no layers, returns the numbers of all zones together.
    fn zone_capacity(&self, engines: &[PlacementEngine], zone: &str) -> Vec<f64> {
        let mut capacity = vec![0.0; usize::from(self.shape.layers)];
        let holds = |engine: &&PlacementEngine| engine.zone == zone && !engine.layers.is_empty();
        let is_zone_empty = !engines.iter().any(|engine| holds(&engine));
        for engine in engines
            .iter()
            .filter(|engine| is_zone_empty || holds(engine))
        {
            let held = engine.layers.len().max(1);
            let memory = self.shape.memory_mb(&engine.kind);
            let tokens = self.shape.kv_capacity_tokens(memory, held);
            for layer in engine.layers.first..engine.layers.end {
                capacity[usize::from(layer)] += tokens;
            }
        }
        capacity
    }

    fn step_factor(&self, engine: &PlacementEngine) -> f64 {
        let kind = self.shape.kind(&engine.kind);
        kind.map_or(f64::MAX, |kind| kind.step_factor)
    }
}

/// Returns the first run of layers that no engine holds.
fn first_gap(holders: &[u32]) -> Option<LayerRange> {
    let first = holders.iter().position(|count| *count == 0)?;
    let length = holders[first..].iter().take_while(|count| **count == 0);
    let length = length.count();
    Some(LayerRange::new(first as u16, (first + length) as u16))
}
