use crate::relay::ModelShape;

use super::PlacementEngine;
use super::PlacementOrder;
use super::RequestProfile;
use super::ThroughputBound;
use super::placement_group::split_layers;

/// The number of mean requests for which a group should have memory beside the weights.
///
/// In a smaller group, the weights take more of the memory, which leaves less for requests.
const GROUP_REQUESTS: f64 = 60.0;

/// The minimum number of mean requests for which a group, or an engine that takes over more layers, must
/// have memory beside the weights.
pub(super) const MIN_GROUP_REQUESTS: f64 = 25.0;

/// The minimum factor by which groups of all engines must raise the throughput bound to be used instead of groups
/// that leave spare engines.
///
/// Spare engines replace lost ones without a move of engines that serve.
const MIN_RATE_FACTOR: f64 = 1.05;

/// The time between two events of an answer for which groups are compared, in milliseconds.
///
/// The model does not name one; it is the wanted gap of the routes on uneven kinds.
const COMPARED_GAP_MS: f64 = 250.0;

/// The orders for the engines of one group.
type GroupOrders = Vec<PlacementOrder>;

/// Divides engines that hold no layers into groups, each of which covers the model once.
#[derive(Clone, Copy, Debug)]
pub(super) struct GroupFormer<'a> {
    shape: &'a ModelShape,
}

impl<'a> GroupFormer<'a> {
    pub(super) fn new(shape: &'a ModelShape) -> GroupFormer<'a> {
        GroupFormer { shape }
    }

    /// Divides engines, in order, into groups.
    ///
    /// On uneven kinds, memory alone does not show whether the engines that would be spares serve more in the groups,
    /// so that both ways are compared by their throughput bounds.
    pub(super) fn form(&self, engines: &[&PlacementEngine]) -> Vec<PlacementOrder> {
        let groups = self.groups_by_memory(engines);
        // A single group has no other one that serves after a loss, and needs its spare engines.
        if !self.shape.has_uneven_kinds() || groups.len() < 2 {
            return groups.concat();
        }
        let Some(all) = self.even_groups(engines, groups.len()) else {
            return groups.concat();
        };
        let known = self.rate(engines, &groups);
        match self.rate(engines, &all) >= known * MIN_RATE_FACTOR {
            true => all.concat(),
            false => groups.concat(),
        }
    }

    /// Divides engines, in order, into groups by their memory.
    ///
    /// If there is memory for several groups that each use all slots of an engine, all engines join a
    /// group, since any memory beside the weights serves requests. Otherwise each group takes the next
    /// fastest engines until it has memory for enough requests, and the remaining engines are spares for
    /// lost ones: slow engines would make the requests of a group slower, and a zone with little memory
    /// has no other replacement for a lost engine.
    fn groups_by_memory(&self, engines: &[&PlacementEngine]) -> Vec<GroupOrders> {
        let target_mb = self.group_mb(GROUP_REQUESTS);
        let min_mb = self.group_mb(MIN_GROUP_REQUESTS);
        let full_mb = self.group_mb(f64::from(self.shape.slots));
        let memory = |engine: &PlacementEngine| self.shape.memory_mb(&engine.kind);
        let total: f64 = engines.iter().map(|engine| memory(engine)).sum();
        let max_groups = (total / full_mb).floor() as usize;
        let mut counts = (2..=max_groups).rev();
        if let Some(groups) = counts.find_map(|count| self.even_groups(engines, count)) {
            return groups;
        }
        let mut groups = Vec::new();
        let mut start = 0;
        let mut held = 0.0;
        for end in 1..=engines.len() {
            held += memory(engines[end - 1]);
            let is_last = end == engines.len();
            if held < target_mb && !(is_last && held >= min_mb) {
                continue;
            }
            if let Some(group) = split_layers(self.shape, &engines[start..end]) {
                groups.push(group);
                start = end;
                held = 0.0;
            }
        }
        groups
    }

    /// Divides engines, in order, into `count` groups with about the same memory; none if a group lacks
    /// memory for the minimum of requests or can't hold the model.
    fn even_groups(&self, engines: &[&PlacementEngine], count: usize) -> Option<Vec<GroupOrders>> {
        let min_mb = self.group_mb(MIN_GROUP_REQUESTS);
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
            if held < min_mb {
                return None;
            }
            orders.push(split_layers(self.shape, &group)?);
        }
        Some(orders)
    }

    /// Returns the memory of a group for this number of mean requests beside the weights, in megabytes.
    fn group_mb(&self, requests: f64) -> f64 {
        let weights_mb = f64::from(self.shape.layers) * self.shape.layer_mb;
        let request_mb = self.shape.mean_tokens() * self.shape.token_bytes / 1e6;
        weights_mb + requests * request_mb
    }

    /// Returns the sum of the throughput bounds of the groups, in requests a second.
    fn rate(&self, engines: &[&PlacementEngine], groups: &[GroupOrders]) -> f64 {
        let profile = RequestProfile {
            prompt_tokens: self.shape.usual_prompt,
            answer_tokens: self.shape.usual_answer,
            max_gap_ms: COMPARED_GAP_MS,
        };
        let bound = ThroughputBound::new(self.shape);
        let mut by_id = engines.to_vec();
        by_id.sort_by(|left, right| left.id.cmp(&right.id));
        let placed = |order: &PlacementOrder| {
            let index = by_id.binary_search_by(|engine| engine.id.cmp(&order.id));
            index.ok().map(|index| PlacementEngine {
                layers: order.layers,
                ..by_id[index].clone()
            })
        };
        let group_rate = |group: &GroupOrders| {
            let members: Vec<PlacementEngine> = group.iter().filter_map(placed).collect();
            bound.group_rate(&members, &profile)
        };
        groups.iter().map(group_rate).sum()
    }
}
