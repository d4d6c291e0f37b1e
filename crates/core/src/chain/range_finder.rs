use crate::relay::ModelShape;
use crate::stream::LayerRange;

use super::range_benefit::RangeBenefit;

/// The maximum share of its memory that the weights of an engine that joins later may take.
const MAX_WEIGHT_SHARE: f64 = 0.75;

/// The share of the median capacity below which a layer counts as scarce.
///
/// Rounding to whole layers alone lowers the capacity to 0.9 of the median.
const SCARCE_SHARE: f64 = 0.8;

/// Finds the layers for an engine that joins a zone in which other engines already hold layers.
#[derive(Clone, Copy, Debug)]
pub(super) struct RangeFinder<'a> {
    shape: &'a ModelShape,
    /// The number of tokens of context for which the zone has memory at each layer.
    capacity: &'a [f64],
    /// The memory of the engine, in megabytes.
    memory_mb: f64,
}

impl<'a> RangeFinder<'a> {
    pub(super) fn new(
        shape: &'a ModelShape,
        capacity: &'a [f64],
        memory_mb: f64,
    ) -> RangeFinder<'a> {
        RangeFinder {
            shape,
            capacity,
            memory_mb,
        }
    }

    /// Returns the layers for the engine; none if its memory holds no layer.
    ///
    /// `peer_layers` is the largest number of layers on an engine of the same kind, or 0 without one.
    pub(super) fn find(&self, peer_layers: u16) -> Option<LayerRange> {
        match is_even(self.capacity) {
            true => self.spare_range(peer_layers),
            false => self.best_range(peer_layers),
        }
    }

    /// Returns the range for a spare engine: the one with the lowest capacity among those of
    /// `peer_layers` layers; none if its memory holds no layer.
    ///
    /// Without peers or with too little memory for so many layers, the range is as large as possible.
    fn spare_range(&self, peer_layers: u16) -> Option<LayerRange> {
        let max_size = self.max_layers();
        let size = match peer_layers {
            0 => max_size,
            peer_layers => peer_layers.min(max_size),
        };
        (size > 0).then(|| scarcest_range(self.capacity, size))
    }

    /// Returns the layers by which the engine raises the capacity of its zone the most; none if its
    /// memory holds no layer.
    ///
    /// The range has at least `peer_layers` layers, so that a single scarce layer does not take all the
    /// memory of an engine. It begins or ends at the edge of a run of scarce layers, so that it does not
    /// split the run in two.
    fn best_range(&self, peer_layers: u16) -> Option<LayerRange> {
        let target = match median(self.capacity) {
            target if target > 0.0 => target,
            _ => f64::MAX,
        };
        let edges = scarce_edges(self.capacity, target);
        let mut best: Option<(RangeBenefit, LayerRange)> = None;
        let max_size = self.max_layers();
        for size in peer_layers.clamp(1, max_size.max(1))..=max_size {
            let own = self.shape.kv_capacity_tokens(self.memory_mb, size);
            for first in 0..=(self.shape.layers - size) {
                let range = LayerRange::new(first, first + size);
                if !edges.contains(&range.first) && !edges.contains(&range.end) {
                    continue;
                }
                let benefit = RangeBenefit::new(self.capacity, range, own, target);
                if best
                    .as_ref()
                    .is_none_or(|(known, _)| benefit.exceeds(known))
                {
                    best = Some((benefit, range));
                }
            }
        }
        best.map(|(_, range)| range)
    }

    fn max_layers(&self) -> u16 {
        self.shape.max_layers(self.memory_mb * MAX_WEIGHT_SHARE)
    }
}

/// Returns whether no layer is scarce.
fn is_even(capacity: &[f64]) -> bool {
    let target = median(capacity);
    target > 0.0
        && capacity
            .iter()
            .all(|tokens| *tokens >= SCARCE_SHARE * target)
}

/// Returns the median capacity; 0 if there are no layers.
fn median(capacity: &[f64]) -> f64 {
    let mut sorted = capacity.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied().unwrap_or(0.0)
}

/// Returns the range of `size` layers with the lowest capacity at its scarcest layer, then in total.
fn scarcest_range(capacity: &[f64], size: u16) -> LayerRange {
    let size = size.min(capacity.len() as u16);
    let key = |first: &u16| {
        let window = &capacity[usize::from(*first)..usize::from(*first + size)];
        let scarcest = window.iter().copied().fold(f64::INFINITY, f64::min);
        (scarcest, window.iter().sum::<f64>())
    };
    let last = capacity.len() as u16 - size;
    let best = (0..=last).min_by(|left, right| {
        let (left, right) = (key(left), key(right));
        left.0.total_cmp(&right.0).then(left.1.total_cmp(&right.1))
    });
    let first = best.unwrap_or(0);
    LayerRange::new(first, first + size)
}

/// Returns both ends of the model and the layers at which the capacity changes between none, scarce
/// and sufficient.
fn scarce_edges(capacity: &[f64], target: f64) -> Vec<u16> {
    let class = |tokens: &f64| (*tokens <= 0.0, *tokens < SCARCE_SHARE * target);
    let mut edges = vec![0, capacity.len() as u16];
    for layer in 1..capacity.len() {
        if class(&capacity[layer]) != class(&capacity[layer - 1]) {
            edges.push(layer as u16);
        }
    }
    edges
}
