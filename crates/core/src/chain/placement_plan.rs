use crate::relay::ModelShape;
use crate::stream::LayerRange;

use super::PlacementEngine;
use super::PlacementOrder;
use super::placement_group::split_layers;

/// The requests of usual size for which a group of engines must have room beside the weights.
///
/// A group with fewer holds weights in memory that would serve more requests in a larger group.
const GROUP_REQUESTS: f64 = 50.0;

/// The share of an accelerator's memory that a late engine's layers take at most.
const LATE_WEIGHT_SHARE: f64 = 0.75;

/// Decides which layers engines hold.
///
/// Engines of one kind form groups that cover the model once, because the slowest accelerator of a
/// chain sets its pace. Engines that come later, or come back empty, take the layers with the least
/// memory for requests, so that nothing that serves has to move.
#[derive(Clone, Copy, Debug)]
pub struct PlacementPlan<'a> {
    shape: &'a ModelShape,
}

impl<'a> PlacementPlan<'a> {
    /// Creates a plan for a model.
    pub fn new(shape: &'a ModelShape) -> PlacementPlan<'a> {
        PlacementPlan { shape }
    }

    /// Returns orders for the engines that hold nothing.
    pub fn orders(&self, engines: &[PlacementEngine]) -> Vec<PlacementOrder> {
        let is_fresh = engines.iter().all(|engine| engine.layers.is_empty());
        match is_fresh {
            true => self.initial(engines),
            false => self.fill(engines),
        }
    }

    /// Forms groups of engines that are all empty.
    fn initial(&self, engines: &[PlacementEngine]) -> Vec<PlacementOrder> {
        let mut kinds: Vec<_> = self.shape.kinds.iter().collect();
        kinds.sort_by(|left, right| left.step_factor.total_cmp(&right.step_factor));
        let mut orders = Vec::new();
        let mut pool: Vec<&PlacementEngine> = Vec::new();
        let mut last_pool: Vec<&PlacementEngine> = Vec::new();
        for kind in kinds {
            pool.extend(engines.iter().filter(|engine| engine.kind == kind.name));
            let formed = self.form_groups(&pool);
            if !formed.is_empty() {
                orders.extend(formed);
                last_pool = std::mem::take(&mut pool);
            }
        }
        if !pool.is_empty() {
            // The slowest engines can't form a group of their own: the last group takes them.
            let kept: Vec<&str> = last_pool.iter().map(|engine| engine.id.as_str()).collect();
            last_pool.extend(pool);
            let formed = self.form_groups(&last_pool);
            if !formed.is_empty() {
                orders.retain(|order| !kept.contains(&order.id.as_str()));
                orders.extend(formed);
            }
        }
        orders
    }

    /// Splits engines into as many groups as have enough room each.
    fn form_groups(&self, engines: &[&PlacementEngine]) -> Vec<PlacementOrder> {
        let mut sorted = engines.to_vec();
        sorted.sort_by(|left, right| (&left.zone, &left.id).cmp(&(&right.zone, &right.id)));
        let memory = |engine: &&PlacementEngine| {
            self.shape.kind(&engine.kind).map_or(0.0, |kind| kind.memory_mb)
        };
        let total: f64 = sorted.iter().map(memory).sum();
        let weights = f64::from(self.shape.layers) * self.shape.layer_mb;
        let tokens = self.shape.usual_prompt + self.shape.usual_answer;
        let requests = GROUP_REQUESTS * tokens * self.shape.token_bytes / 1e6;
        let mut count = ((total / (weights + requests).max(1e-9)) as usize).min(sorted.len());
        if count == 0 && total > weights {
            count = 1;
        }
        while count > 0 {
            let groups = cut_groups(&sorted, count);
            let formed: Option<Vec<_>> = groups
                .iter()
                .map(|group| split_layers(self.shape, group))
                .collect();
            if let Some(formed) = formed {
                return formed.into_iter().flatten().collect();
            }
            count -= 1;
        }
        Vec::new()
    }

    /// Gives each empty engine the layers with the least room.
    fn fill(&self, engines: &[PlacementEngine]) -> Vec<PlacementOrder> {
        let mut room = vec![0.0; usize::from(self.shape.layers)];
        for engine in engines {
            self.add_room(&mut room, &engine.kind, engine.layers);
        }
        let mut orders = Vec::new();
        for engine in engines.iter().filter(|engine| engine.layers.is_empty()) {
            let size = self.late_size(engines, &engine.kind);
            if size == 0 {
                continue;
            }
            let layers = scarcest_range(&room, size);
            self.add_room(&mut room, &engine.kind, layers);
            orders.push(PlacementOrder {
                id: engine.id.clone(),
                layers,
            });
        }
        orders
    }

    /// Returns how many layers a late engine takes: as many as others of its kind, within memory.
    fn late_size(&self, engines: &[PlacementEngine], kind: &str) -> u16 {
        let memory = self.shape.kind(kind).map_or(0.0, |kind| kind.memory_mb);
        let most = self.shape.max_layers(memory * LATE_WEIGHT_SHARE);
        let alike = engines.iter().filter(|engine| engine.kind == kind);
        let usual = alike.map(|engine| engine.layers.len()).max().unwrap_or(0);
        match usual {
            0 => most,
            usual => usual.min(most),
        }
    }

    fn add_room(&self, room: &mut [f64], kind: &str, layers: LayerRange) {
        let Some(kind) = self.shape.kind(kind) else {
            return;
        };
        let held = layers.len().max(1);
        let units = self.shape.room_units(kind.memory_mb, held) / f64::from(held);
        // A fast accelerator turns its memory over sooner.
        let weight = units / kind.step_factor.max(1e-9);
        for layer in layers.first..layers.end.min(self.shape.layers) {
            room[usize::from(layer)] += weight;
        }
    }
}

/// Cuts a list into `count` runs whose lengths differ by one at most.
fn cut_groups<'e>(engines: &[&'e PlacementEngine], count: usize) -> Vec<Vec<&'e PlacementEngine>> {
    let bound = |index: usize| index * engines.len() / count;
    (0..count)
        .map(|index| engines[bound(index)..bound(index + 1)].to_vec())
        .collect()
}

/// Returns the range of `size` layers with the least room at its scarcest layer, then in sum.
fn scarcest_range(room: &[f64], size: u16) -> LayerRange {
    let size = size.min(room.len() as u16);
    let key = |first: &u16| {
        let window = &room[usize::from(*first)..usize::from(*first + size)];
        let least = window.iter().copied().fold(f64::INFINITY, f64::min);
        (least, window.iter().sum::<f64>())
    };
    let last = room.len() as u16 - size;
    let best = (0..=last).min_by(|left, right| {
        let (left, right) = (key(left), key(right));
        left.0.total_cmp(&right.0).then(left.1.total_cmp(&right.1))
    });
    let first = best.unwrap_or(0);
    LayerRange::new(first, first + size)
}
