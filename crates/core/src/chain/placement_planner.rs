use crate::relay::ModelShape;
use crate::stream::LayerRange;

use super::PlacementEngine;
use super::PlacementOrder;
use super::placement_group::split_layers;
use super::range_finder::RangeFinder;

/// The requests of usual size for which a group of engines should have room beside the weights.
///
/// A group with fewer holds weights in memory that would serve more requests in a larger group.
const GROUP_REQUESTS: f64 = 60.0;

/// The requests of usual size below which engines form no group of their own.
const LEAST_GROUP_REQUESTS: f64 = 25.0;

/// Decides which layers engines hold.
///
/// The engines of an availability zone form groups that cover the model once, the fastest together:
/// the slowest accelerator of a chain sets its pace, and activations that cross zones share one
/// pipe. Engines that are left over, come later or come back empty take the layers that their zone
/// lacks most. What serves moves only to make a zone whole after a loss.
#[derive(Clone, Copy, Debug)]
pub struct PlacementPlanner<'a> {
    shape: &'a ModelShape,
}

impl<'a> PlacementPlanner<'a> {
    /// Creates a plan for a model.
    pub fn new(shape: &'a ModelShape) -> PlacementPlanner<'a> {
        PlacementPlanner { shape }
    }

    /// Returns orders for the engines that hold nothing, and for those that have to move.
    pub fn orders(&self, engines: &[PlacementEngine]) -> Vec<PlacementOrder> {
        let mut placed = engines.to_vec();
        let mut orders = Vec::new();
        if placed.iter().all(|engine| engine.layers.is_empty()) {
            orders = self.initial(engines);
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

    /// Moves engines whose layers others of their zone hold as well to layers that none there holds.
    ///
    /// One engine that is lost for good would leave all others of its zone idle: chains do not cross
    /// zones but within a small budget.
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

    /// Returns the moves that make a zone whole; none if it is whole or stays broken.
    fn repair_zone(&self, engines: &mut [PlacementEngine], zone: &str) -> Vec<PlacementOrder> {
        let mut moved = engines.to_vec();
        let mut orders = Vec::new();
        loop {
            let holders = self.zone_holders(&moved, zone);
            let Some(hole) = first_hole(&holders) else {
                break;
            };
            let spare = self.next_move(&moved, zone, hole, &holders);
            let found = match spare {
                Some(order) => vec![order],
                None => self.extend_neighbors(&moved, zone, hole),
            };
            if found.is_empty() {
                return self.split_zone(engines, zone);
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

    /// Divides the model anew among all engines of a zone that has no chain; none if their memory does
    /// not hold it or an order is under way there.
    fn split_zone(&self, engines: &mut [PlacementEngine], zone: &str) -> Vec<PlacementOrder> {
        let own = engines.iter().filter(|engine| engine.zone == zone);
        let mut own: Vec<&PlacementEngine> = own.collect();
        if own.iter().any(|engine| engine.has_pending_order) {
            return Vec::new();
        }
        // Each engine stays near the layers that it holds, so that it loads few.
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

    /// Returns the orders with which the engines before and after a hole close it together; none if
    /// their memory does not hold it.
    ///
    /// What they hold already goes on serving while they load. Each further layer goes to the side
    /// that keeps more room for requests.
    fn extend_neighbors(
        &self,
        engines: &[PlacementEngine],
        zone: &str,
        hole: LayerRange,
    ) -> Vec<PlacementOrder> {
        let own = || {
            engines.iter().filter(|engine| {
                engine.zone == zone && !engine.has_pending_order && !engine.layers.is_empty()
            })
        };
        let room = |engine: &&PlacementEngine| self.request_room(engine, engine.layers.len());
        let before = own().filter(|engine| engine.layers.end == hole.first);
        let before = before.max_by(|left, right| room(left).total_cmp(&room(right)));
        let after = own().filter(|engine| engine.layers.first == hole.end);
        let after = after.max_by(|left, right| room(left).total_cmp(&room(right)));
        let mut rest = hole;
        while !rest.is_empty() {
            let grown = |engine: Option<&PlacementEngine>, taken: u16| {
                engine.map_or(0.0, |engine| {
                    self.request_room(engine, engine.layers.len() + taken + 1)
                })
            };
            let first = grown(before, rest.first - hole.first);
            let last = grown(after, hole.end - rest.end);
            if first.max(last) < LEAST_GROUP_REQUESTS {
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
            .filter(|_| rest.first > hole.first)
            .map(|engine| order(engine, LayerRange::new(engine.layers.first, rest.first)));
        let last = after
            .filter(|_| rest.first < hole.end)
            .map(|engine| order(engine, LayerRange::new(rest.first, engine.layers.end)));
        first.into_iter().chain(last).collect()
    }

    /// Returns for how many usual requests an engine has room beside `held` layers.
    fn request_room(&self, engine: &PlacementEngine, held: u16) -> f64 {
        let memory = self.shape.memory_mb(&engine.kind);
        self.shape.kv_capacity_tokens(memory, held) / self.shape.mean_tokens().max(1e-9)
    }

    /// Returns the number of engines of a zone that hold each layer.
    fn zone_holders(&self, engines: &[PlacementEngine], zone: &str) -> Vec<u32> {
        let mut holders = vec![0; usize::from(self.shape.layers)];
        for engine in engines.iter().filter(|engine| engine.zone == zone) {
            for layer in engine.layers.first..engine.layers.end.min(self.shape.layers) {
                holders[usize::from(layer)] += 1;
            }
        }
        holders
    }

    /// Returns a move of a spare engine to layers that no engine of the zone holds.
    fn next_move(
        &self,
        engines: &[PlacementEngine],
        zone: &str,
        hole: LayerRange,
        holders: &[u32],
    ) -> Option<PlacementOrder> {
        let is_spare = |engine: &&PlacementEngine| {
            let held = usize::from(engine.layers.first)..usize::from(engine.layers.end);
            let is_own = engine.zone == zone && !engine.has_pending_order && !held.is_empty();
            is_own && holders[held].iter().all(|count| *count > 1)
        };
        // The slowest goes first: the fast ones serve most where they are.
        let spare = engines.iter().filter(is_spare).max_by(|left, right| {
            let factors = self.step_factor(left).total_cmp(&self.step_factor(right));
            factors.then_with(|| left.id.cmp(&right.id))
        })?;
        let size = spare.layers.len().min(hole.len());
        Some(PlacementOrder {
            id: spare.id.clone(),
            layers: LayerRange::new(hole.first, hole.first + size),
        })
    }

    /// Forms groups of engines that are all empty: within zones, or over all if no zone can.
    fn initial(&self, engines: &[PlacementEngine]) -> Vec<PlacementOrder> {
        let mut sorted: Vec<&PlacementEngine> = engines.iter().collect();
        sorted.sort_by(|left, right| {
            let factors = self.step_factor(left).total_cmp(&self.step_factor(right));
            let zones = left.zone.cmp(&right.zone).then(factors);
            zones.then_with(|| left.id.cmp(&right.id))
        });
        let mut orders = Vec::new();
        for zone in sorted.chunk_by(|left, right| left.zone == right.zone) {
            orders.extend(self.form_groups(zone));
        }
        if orders.is_empty() {
            orders = self.form_groups(&sorted);
        }
        orders
    }

    /// Divides engines, in order, into groups.
    ///
    /// If several groups have room for as many requests as an engine takes, all engines take part: what a
    /// group has beyond its weights serves requests. Otherwise each group takes the next fastest ones that
    /// have room for enough requests, and what is left over stands in for lost engines: slow ones in a
    /// group make its requests take longer, and a zone with little room has no other for a lost part.
    fn form_groups(&self, engines: &[&PlacementEngine]) -> Vec<PlacementOrder> {
        let weights = f64::from(self.shape.layers) * self.shape.layer_mb;
        let request_mb = self.shape.mean_tokens() * self.shape.token_bytes / 1e6;
        let wanted = weights + GROUP_REQUESTS * request_mb;
        let least = weights + LEAST_GROUP_REQUESTS * request_mb;
        let full = weights + f64::from(self.shape.slots) * request_mb;
        let memory = |engine: &PlacementEngine| self.shape.memory_mb(&engine.kind);
        let total: f64 = engines.iter().map(|engine| memory(engine)).sum();
        let most = (total / full).floor() as usize;
        let mut counts = (2..=most).rev();
        if let Some(orders) = counts.find_map(|count| self.cut_groups(engines, count, least)) {
            return orders;
        }
        let mut orders = Vec::new();
        let mut start = 0;
        let mut held = 0.0;
        for end in 1..=engines.len() {
            held += memory(engines[end - 1]);
            let is_last = end == engines.len();
            if held < wanted && !(is_last && held >= least) {
                continue;
            }
            if let Some(group) = split_layers(self.shape, &engines[start..end]) {
                orders.extend(group);
                start = end;
                held = 0.0;
            }
        }
        orders
    }

    /// Cuts engines, in order, into `count` groups of about the same memory; none if one of them has
    /// less than `least` or can't hold the model.
    fn cut_groups(
        &self,
        engines: &[&PlacementEngine],
        count: usize,
        least: f64,
    ) -> Option<Vec<PlacementOrder>> {
        let memory = |engine: &&PlacementEngine| self.shape.memory_mb(&engine.kind);
        let total: f64 = engines.iter().map(memory).sum();
        let mut groups = vec![Vec::new(); count];
        let mut taken = 0.0;
        for engine in engines {
            let middle = taken + memory(engine) / 2.0;
            let group = (middle / total.max(1e-9) * count as f64) as usize;
            groups[group.min(count - 1)].push(*engine);
            taken += memory(engine);
        }
        let mut orders = Vec::new();
        for group in groups {
            let held: f64 = group.iter().map(memory).sum();
            if held < least {
                return None;
            }
            orders.extend(split_layers(self.shape, &group)?);
        }
        Some(orders)
    }

    /// Gives each empty engine the layers with which it raises the room of its zone most.
    fn fill(&self, engines: &mut [PlacementEngine]) -> Vec<PlacementOrder> {
        let mut orders = Vec::new();
        for index in 0..engines.len() {
            if !engines[index].layers.is_empty() {
                continue;
            }
            let room = self.zone_room(engines, &engines[index].zone);
            let kind = &engines[index].kind;
            let alike = engines.iter().filter(|engine| engine.kind == *kind);
            let usual = alike.map(|engine| engine.layers.len()).max().unwrap_or(0);
            let finder = RangeFinder::new(self.shape, &room, self.shape.memory_mb(kind));
            let Some(layers) = finder.find(usual) else {
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

    /// Returns the tokens for which each layer has room in a zone; in all zones if the zone holds nothing.
    fn zone_room(&self, engines: &[PlacementEngine], zone: &str) -> Vec<f64> {
        let mut room = vec![0.0; usize::from(self.shape.layers)];
        let holds = |engine: &&PlacementEngine| engine.zone == zone && !engine.layers.is_empty();
        let is_alone = !engines.iter().any(|engine| holds(&engine));
        for engine in engines.iter().filter(|engine| is_alone || holds(engine)) {
            let held = engine.layers.len().max(1);
            let memory = self.shape.memory_mb(&engine.kind);
            let tokens = self.shape.kv_capacity_tokens(memory, held);
            for layer in engine.layers.first..engine.layers.end.min(self.shape.layers) {
                room[usize::from(layer)] += tokens;
            }
        }
        room
    }

    fn step_factor(&self, engine: &PlacementEngine) -> f64 {
        let kind = self.shape.kind(&engine.kind);
        kind.map_or(f64::MAX, |kind| kind.step_factor)
    }
}

/// Returns the first layers that no engine holds.
fn first_hole(holders: &[u32]) -> Option<LayerRange> {
    let first = holders.iter().position(|count| *count == 0)?;
    let length = holders[first..].iter().take_while(|count| **count == 0);
    let length = length.count();
    Some(LayerRange::new(first as u16, (first + length) as u16))
}
