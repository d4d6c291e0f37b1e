/// The credit with which lower priority classes start work ahead of higher ones.
///
/// The credit grows by a share of the work that higher classes start while lower ones wait.
#[derive(Clone, Copy, Debug)]
pub(super) struct PriorityCredit {
    share_percent: u64,
    /// In hundredths of a work unit.
    credit: u64,
}

impl PriorityCredit {
    /// Creates an empty credit that gives lower classes a share of the work in percent, at most 99.
    pub(super) fn new(share_percent: u32) -> PriorityCredit {
        PriorityCredit {
            share_percent: u64::from(share_percent.min(99)),
            credit: 0,
        }
    }

    /// Returns whether a lower class may start `units` before higher classes.
    pub(super) fn covers(&self, units: u64) -> bool {
        self.share_percent > 0 && self.credit >= units * 100
    }

    /// Records the start of `units`, given whether items of lower or higher classes are waiting.
    pub(super) fn record_start(&mut self, units: u64, has_lower: bool, has_higher: bool) {
        if has_higher {
            self.credit = self.credit.saturating_sub(units * 100);
        } else if has_lower {
            let share = self.share_percent;
            self.credit += units * 100 * share / (100 - share);
        } else {
            // No credit accumulates while no other class waits.
            self.credit = 0;
        }
    }
}
