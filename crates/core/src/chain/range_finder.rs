use crate::relay::ModelShape;
use crate::stream::LayerRange;

use super::range_gain::RangeGain;

/// The share of an accelerator's memory that a late engine's layers take at most.
const LATE_WEIGHT_SHARE: f64 = 0.75;

/// The share of the median room below which a layer counts as scarce.
///
/// Rounding to whole layers alone leaves nine tenths.
const SCARCE_SHARE: f64 = 0.8;

/// Finds the layers for an engine that comes to a zone whose other engines hold theirs.
#[derive(Clone, Copy, Debug)]
pub(super) struct RangeFinder<'a> {
    shape: &'a ModelShape,
    /// The tokens for which each layer has room in the zone.
    room: &'a [f64],
    /// The memory of the engine, in megabytes.
    memory_mb: f64,
}

impl<'a> RangeFinder<'a> {
    pub(super) fn new(shape: &'a ModelShape, room: &'a [f64], memory_mb: f64) -> RangeFinder<'a> {
        RangeFinder {
            shape,
            room,
            memory_mb,
        }
    }

    /// Returns the layers for the engine, of whose kind others hold up to `usual`; none if it holds no
    /// layer.
    pub(super) fn find(&self, usual: u16) -> Option<LayerRange> {
        match is_even(self.room) {
            true => self.usual_range(usual),
            false => self.best_range(usual),
        }
    }

    /// Returns the range of an engine that stands in for others: as many layers as others of its kind
    /// have, where there is least room; none if it holds no layer.
    fn usual_range(&self, usual: u16) -> Option<LayerRange> {
        let most = self.most_layers();
        let size = match usual {
            0 => most,
            usual => usual.min(most),
        };
        (size > 0).then(|| scarcest_range(self.room, size))
    }

    /// Returns the layers with which an engine raises the room of its zone most; none if it holds no
    /// layer.
    ///
    /// The range has at least `usual` layers, so that a single scarce layer does not get all the memory of an
    /// engine, and begins or ends where scarce layers do, so that it does not divide them in two.
    fn best_range(&self, usual: u16) -> Option<LayerRange> {
        let target = match median(self.room) {
            target if target > 0.0 => target,
            _ => f64::MAX,
        };
        let edges = scarce_edges(self.room, target);
        let mut best: Option<(RangeGain, LayerRange)> = None;
        let most = self.most_layers();
        for size in usual.clamp(1, most.max(1))..=most {
            let own = self.shape.kv_capacity_tokens(self.memory_mb, size);
            for first in 0..=(self.shape.layers - size) {
                let range = LayerRange::new(first, first + size);
                if !edges.contains(&range.first) && !edges.contains(&range.end) {
                    continue;
                }
                let gain = RangeGain::new(self.room, range, own, target);
                if best.as_ref().is_none_or(|(known, _)| gain.exceeds(known)) {
                    best = Some((gain, range));
                }
            }
        }
        best.map(|(_, range)| range)
    }

    fn most_layers(&self) -> u16 {
        self.shape.max_layers(self.memory_mb * LATE_WEIGHT_SHARE)
    }
}

/// Returns whether no layer is scarce.
fn is_even(room: &[f64]) -> bool {
    let target = median(room);
    target > 0.0 && room.iter().all(|room| *room >= SCARCE_SHARE * target)
}

/// Returns the median room; 0 if there are no layers.
fn median(room: &[f64]) -> f64 {
    let mut sorted = room.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied().unwrap_or(0.0)
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

/// Returns the layers at which holes or runs of scarce layers begin or end, and the ends of the model.
fn scarce_edges(room: &[f64], target: f64) -> Vec<u16> {
    let class = |room: &f64| (*room <= 0.0, *room < SCARCE_SHARE * target);
    let mut edges = vec![0, room.len() as u16];
    for layer in 1..room.len() {
        if class(&room[layer]) != class(&room[layer - 1]) {
            edges.push(layer as u16);
        }
    }
    edges
}
