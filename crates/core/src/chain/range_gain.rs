use crate::stream::LayerRange;

/// What a zone gains if one more engine holds a range of layers.
#[derive(Clone, Copy, Debug)]
pub(super) struct RangeGain {
    /// The layers that nobody held before.
    filled: usize,
    /// The room of the scarcest layer afterwards, in tokens.
    least: f64,
    /// The room that all layers gain together, each up to the wanted room.
    total: f64,
}

impl RangeGain {
    /// Returns the gain of an engine with room for `own` tokens beside the layers of `range`.
    ///
    /// What a layer has beyond `target` tokens serves no chain, as others limit it.
    pub(super) fn new(room: &[f64], range: LayerRange, own: f64, target: f64) -> RangeGain {
        let mut gain = RangeGain {
            filled: 0,
            least: f64::INFINITY,
            total: 0.0,
        };
        for (layer, room) in room.iter().enumerate() {
            let is_held = usize::from(range.first) <= layer && layer < usize::from(range.end);
            let after = if is_held { room + own } else { *room };
            gain.filled += usize::from(is_held && *room <= 0.0);
            gain.least = gain.least.min(after);
            gain.total += after.min(target) - room.min(target);
        }
        gain
    }

    /// Returns whether this gain is the better one: layers without an engine first, then the scarcest
    /// layer, which limits all chains, then the room of all.
    pub(super) fn exceeds(&self, other: &RangeGain) -> bool {
        let least = self.least.total_cmp(&other.least);
        let total = self.total.total_cmp(&other.total);
        let order = self.filled.cmp(&other.filled).then(least).then(total);
        order.is_gt()
    }
}
