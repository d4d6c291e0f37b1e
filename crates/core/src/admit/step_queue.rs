use crate::ident::AccountName;

use super::account_shares::AccountShares;
use super::admit_queue::TAG_SCALE;

/// A waiting step.
#[derive(Clone, Debug)]
struct WaitingStep<T> {
    start_tag: u64,
    account: AccountName,
    step: T,
}

/// The order in which the steps of admitted requests are handed to an engine.
///
/// Accounts share the engine by start-time fair queuing in work units with their weights, on every
/// stage of a route. Without it the steps of a small account wait behind all running requests of a
/// large one, although both were admitted fairly.
///
/// # Example
///
/// ```
/// use dandelionroad_core::admit::StepQueue;
/// use dandelionroad_core::ident::AccountName;
///
/// let [large, small] = ["large", "small"].map(|name| AccountName::parse(name).unwrap());
/// let mut queue = StepQueue::new();
/// queue.push(&large, 1, 8, "first");
/// queue.push(&large, 1, 8, "second");
/// queue.push(&small, 1, 8, "third");
/// let order: Vec<&str> = std::iter::from_fn(|| queue.pop()).collect();
/// assert_eq!(order, ["first", "third", "second"]);
/// ```
#[derive(Clone, Debug)]
pub struct StepQueue<T> {
    /// In descending order, so that the next step is the last one.
    waiting: Vec<WaitingStep<T>>,
    accounts: AccountShares,
    virtual_time: u64,
}

impl<T> StepQueue<T> {
    /// Creates an empty queue.
    pub fn new() -> StepQueue<T> {
        StepQueue {
            waiting: Vec::new(),
            accounts: AccountShares::default(),
            virtual_time: 0,
        }
    }

    /// Adds a step of `units` work units for an account.
    pub fn push(&mut self, account: &AccountName, weight: u32, units: u64, step: T) {
        let share = self.accounts.entry(account);
        let start_tag = share.finish_tag.max(self.virtual_time);
        share.finish_tag = start_tag + units * TAG_SCALE / u64::from(weight.max(1));
        share.waiting += 1;
        let index = self
            .waiting
            .partition_point(|other| other.start_tag > start_tag);
        let waiting = WaitingStep {
            start_tag,
            account: account.clone(),
            step,
        };
        self.waiting.insert(index, waiting);
    }

    /// Takes the next step.
    pub fn pop(&mut self) -> Option<T> {
        let next = self.waiting.pop()?;
        self.virtual_time = self.virtual_time.max(next.start_tag);
        self.accounts.entry(&next.account).waiting -= 1;
        self.accounts.trim(&next.account, self.virtual_time);
        Some(next.step)
    }

    /// Returns the number of waiting steps.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no step waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

impl<T> Default for StepQueue<T> {
    fn default() -> StepQueue<T> {
        StepQueue::new()
    }
}
