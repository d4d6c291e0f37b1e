/// The credit of lower priority classes against the work that higher ones start before them.
#[derive(Clone, Copy, Debug)]
pub(super) struct PriorityCredit {
    share_percent: u64,
    /// In hundredths of a work unit.
    credit: u64,
}

impl PriorityCredit {
    /// Creates the credit for a share of the work in percent, below 100.
    pub(super) fn new(share_percent: u32) -> PriorityCredit {
        PriorityCredit {
            share_percent: u64::from(share_percent.min(99)),
            credit: 0,
        }
    }

    /// Returns whether a lower class may start `units` now, before higher classes.
    pub(super) fn covers(&self, units: u64) -> bool {
        self.share_percent > 0 && self.credit >= units * 100
    }

    /// Counts the start of `units` while items of lower or higher classes wait.
    pub(super) fn start(&mut self, units: u64, has_lower: bool, has_higher: bool) {
        if has_higher {
            self.credit = self.credit.saturating_sub(units * 100);
        } else if has_lower {
            let share = self.share_percent;
            self.credit += units * 100 * share / (100 - share);
        } else {
            // Credit is not saved up while no one waits.
            self.credit = 0;
        }
    }
}
