use std::collections::VecDeque;

use crate::ident::AccountName;

/// The usage of one work unit at weight 1; limits rounding errors in the division by the weight.
const USAGE_SCALE: u64 = 1 << 10;

/// The recent work of an account divided by its weight, decayed over time.
#[derive(Clone, Debug)]
struct AccountUsage {
    account: AccountName,
    usage: u64,
}

/// A queue of engine steps that prefers accounts with little recent usage.
///
/// Steps of accounts below the mean usage are served first, all others in order of arrival. The usage
/// of a preferred account rises to the mean, so that it can't starve the others. Without this queue, the
/// steps of a small account wait behind all running requests of a large one, although both were admitted
/// fairly. Fair queuing of every step slowed down large accounts, whose admitted requests then missed
/// their deadlines.
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
    /// The steps of accounts that were below the mean usage on arrival.
    light: VecDeque<T>,
    /// The steps of all other accounts.
    heavy: VecDeque<T>,
    /// Sorted by account.
    usages: Vec<AccountUsage>,
    total: u64,
    window: u64,
}

impl<T> StepQueue<T> {
    /// Creates an empty queue that tracks usage over about the last `window_units` work units.
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

    /// Removes and returns the next step.
    pub fn pop(&mut self) -> Option<T> {
        self.light.pop_front().or_else(|| self.heavy.pop_front())
    }

    /// Returns the number of waiting steps.
    pub fn len(&self) -> usize {
        self.light.len() + self.heavy.len()
    }

    /// Returns whether no step is waiting.
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
            self.decay();
        }
    }

    /// Halves the usage of every account, so that older work counts less.
    fn decay(&mut self) {
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
