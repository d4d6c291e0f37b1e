use std::collections::VecDeque;

use crate::ident::AccountName;

/// The scale of an account's usage, so that the quotient by the weight is exact enough.
const USAGE_SCALE: u64 = 1 << 10;

/// The recent work of an account, divided by its weight.
#[derive(Clone, Debug)]
struct AccountUsage {
    account: AccountName,
    usage: u64,
}

/// The order in which the steps of admitted requests are handed to an engine.
///
/// Steps of accounts that recently used less than the mean go first; all others are served in the
/// order of arrival. An account that goes first for long reaches the mean, so that the others are
/// not starved. Without it the steps of a small account wait behind all running
/// requests of a large one, although both were admitted fairly. Sharing every step fairly was
/// slower for the large accounts, whose admitted requests then missed their deadlines.
///
/// # Example
///
/// ```
/// use dandelionroad_core::admit::StepQueue;
/// use dandelionroad_core::ident::AccountName;
///
/// let [large, small] = ["large", "small"].map(|name| AccountName::parse(name).unwrap());
/// let mut queue = StepQueue::new(1_000);
/// queue.push(&large, 1, 400, "first");
/// queue.push(&large, 1, 400, "second");
/// queue.push(&small, 1, 8, "third");
/// let order: Vec<&str> = std::iter::from_fn(|| queue.pop()).collect();
/// assert_eq!(order, ["third", "first", "second"]);
/// ```
#[derive(Clone, Debug)]
pub struct StepQueue<T> {
    light: VecDeque<T>,
    heavy: VecDeque<T>,
    /// Sorted by account.
    usages: Vec<AccountUsage>,
    total: u64,
    window: u64,
}

impl<T> StepQueue<T> {
    /// Creates an empty queue that remembers the usage of about `window_units` work units.
    pub fn new(window_units: u64) -> StepQueue<T> {
        StepQueue {
            light: VecDeque::new(),
            heavy: VecDeque::new(),
            usages: Vec::new(),
            total: 0,
            window: window_units.saturating_mul(USAGE_SCALE),
        }
    }

    /// Adds a step of `units` work units for an account.
    pub fn push(&mut self, account: &AccountName, weight: u32, units: u64, step: T) {
        if self.is_light(account) {
            self.light.push_back(step);
        } else {
            self.heavy.push_back(step);
        }
        self.charge(account, units * USAGE_SCALE / u64::from(weight.max(1)));
    }

    /// Takes the next step.
    pub fn pop(&mut self) -> Option<T> {
        self.light.pop_front().or_else(|| self.heavy.pop_front())
    }

    /// Returns the number of waiting steps.
    pub fn len(&self) -> usize {
        self.light.len() + self.heavy.len()
    }

    /// Returns whether no step waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn is_light(&self, account: &AccountName) -> bool {
        let Ok(index) = self.index(account) else {
            return !self.usages.is_empty();
        };
        let accounts = self.usages.len() as u64;
        self.usages[index].usage * accounts < self.total
    }

    fn charge(&mut self, account: &AccountName, usage: u64) {
        match self.index(account) {
            Ok(index) => self.usages[index].usage += usage,
            Err(index) => {
                let account = account.clone();
                self.usages.insert(index, AccountUsage { account, usage });
            }
        }
        self.total += usage;
        if self.total > self.window {
            self.halve();
        }
    }

    /// Halves every usage, so that older work counts less.
    fn halve(&mut self) {
        for usage in &mut self.usages {
            usage.usage /= 2;
        }
        self.usages.retain(|usage| usage.usage > 0);
        self.total = self.usages.iter().map(|usage| usage.usage).sum();
    }

    fn index(&self, account: &AccountName) -> Result<usize, usize> {
        self.usages
            .binary_search_by(|usage| usage.account.cmp(account))
    }
}
