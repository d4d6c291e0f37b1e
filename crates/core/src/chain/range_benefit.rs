use crate::stream::LayerRange;

/// The benefit for a zone if one more engine holds a range of layers.
#[derive(Clone, Copy, Debug)]
pub(super) struct RangeBenefit {
    /// The number of layers that no engine held before.
    newly_covered: usize,
    /// The capacity of the scarcest layer after the engine is added, in tokens.
    min_capacity: f64,
    /// The sum over all layers of the added capacity up to the target, in tokens.
    added: f64,
}

impl RangeBenefit {
    /// Computes the benefit of an engine that holds `range` and has memory for `own` tokens beside it.
    ///
    /// Capacity of a layer beyond `target` tokens does not count, since other layers limit the chains.
    pub(super) fn new(capacity: &[f64], range: LayerRange, own: f64, target: f64) -> RangeBenefit {
        let mut benefit = RangeBenefit {
            newly_covered: 0,
            min_capacity: f64::INFINITY,
            added: 0.0,
        };
        for (layer, before) in capacity.iter().enumerate() {
            let is_held = usize::from(range.first) <= layer && layer < usize::from(range.end);
            let after = if is_held { before + own } else { *before };
            benefit.newly_covered += usize::from(is_held && *before <= 0.0);
            benefit.min_capacity = benefit.min_capacity.min(after);
            benefit.added += after.min(target) - before.min(target);
        }
        benefit
    }

    /// Returns whether this benefit is greater than the other.
    ///
    /// Compares the newly covered layers, then the capacity of the scarcest layer, which limits all
    /// chains, then the added capacity.
    pub(super) fn exceeds(&self, other: &RangeBenefit) -> bool {
        let min_capacity = self.min_capacity.total_cmp(&other.min_capacity);
        let added = self.added.total_cmp(&other.added);
        let order = self
            .newly_covered
            .cmp(&other.newly_covered)
            .then(min_capacity)
            .then(added);
        order.is_gt()
    }
}
