use crate::ident::RequestIdent;
use crate::outcome::RefusalReason;
use crate::route::LoadReport;
use crate::time::MilliTime;

use super::AdmitBatch;
use super::AdmitConfig;
use super::AdmitItem;
use super::AdmitRefusal;
use super::account_shares::AccountShares;
use super::pace_estimate::PaceEstimate;
use super::priority_credit::PriorityCredit;

/// The virtual time of one work unit at weight 1; keeps the quotient by the weight exact enough.
pub(super) const TAG_SCALE: u64 = 1 << 10;

/// The greatest `retry-after` of a refusal, in milliseconds.
const MAX_RETRY_AFTER_MS: u64 = 10_000;

/// A waiting item with its tags of start-time fair queuing.
#[derive(Clone, Debug)]
struct WaitingItem {
    item: AdmitItem,
    start_tag: u64,
    finish_tag: u64,
}

/// A running item.
#[derive(Clone, Debug)]
struct RunningItem {
    item: AdmitItem,
    started: MilliTime,
}

/// The queue in front of an endpoint.
///
/// Accounts share the work by start-time fair queuing in work units with their weights. Priority
/// classes are served in order, with a reserved share for the lower ones. Work that can't finish
/// before its deadline is refused when it arrives or at the latest when its turn comes. When the
/// queue is full, the item furthest beyond its account's share is refused, which may be another
/// one than the new one. A refused item was never started.
#[derive(Clone, Debug)]
pub struct AdmitQueue {
    config: AdmitConfig,
    /// Sorted by priority, start tag and arrival.
    waiting: Vec<WaitingItem>,
    running: Vec<RunningItem>,
    accounts: AccountShares,
    credit: PriorityCredit,
    pace: PaceEstimate,
    virtual_time: u64,
    waiting_units: u64,
    running_units: u64,
    is_draining: bool,
}

impl AdmitQueue {
    /// Creates an empty queue.
    pub fn new(config: AdmitConfig) -> AdmitQueue {
        AdmitQueue {
            config,
            waiting: Vec::new(),
            running: Vec::new(),
            accounts: AccountShares::default(),
            credit: PriorityCredit::new(config.lower_share_percent),
            pace: PaceEstimate::new(config.concurrency, config.units_per_second),
            virtual_time: 0,
            waiting_units: 0,
            running_units: 0,
            is_draining: false,
        }
    }

    /// Sets the rate of the endpoint, in work units per second, after a configuration change.
    pub fn set_rate(&mut self, units_per_second: u64) {
        self.config.units_per_second = units_per_second.max(1);
        if !self.pace.is_observed() {
            let config = &self.config;
            self.pace = PaceEstimate::new(config.concurrency, config.units_per_second);
        }
    }

    /// Refuses all new items from now on; waiting and running ones are finished.
    pub fn start_draining(&mut self) {
        self.is_draining = true;
    }

    /// Returns whether nothing waits and nothing runs.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Offers an item at `now`.
    ///
    /// Returns the refused items: the offered one, or others that gave way to it. The item is
    /// waiting unless it is among them.
    pub fn offer(&mut self, item: AdmitItem, now: MilliTime) -> Vec<AdmitRefusal> {
        if self.is_draining {
            return vec![self.refusal(&item.request, RefusalReason::Leaving, 0)];
        }
        let start_tag = self.start_tag(&item);
        let wait_ms = self.wait_ms(item.priority, start_tag);
        let finish = now.plus(wait_ms + self.service_ms(&item));
        // An idle endpoint takes the item whatever it learned under load, or it would refuse on
        // and never learn that the load is over.
        if finish > item.deadline && !(self.is_idle() && now < item.deadline) {
            return vec![self.refusal(&item.request, RefusalReason::Deadline, wait_ms)];
        }
        self.insert(item, start_tag);
        self.shed_excess()
    }

    /// Starts what fits at `now` and refuses what would end too late.
    pub fn poll(&mut self, now: MilliTime) -> AdmitBatch {
        let mut batch = AdmitBatch::default();
        while let Some(index) = self.next_index() {
            let waiting = self.remove(index);
            let finish = now.plus(self.service_ms(&waiting.item));
            let is_first = self.running.is_empty() && now < waiting.item.deadline;
            if finish > waiting.item.deadline && !is_first {
                let request = &waiting.item.request;
                let refusal = self.refusal(request, RefusalReason::Deadline, 0);
                batch.refused.push(refusal);
                self.accounts.trim(&waiting.item.account, self.virtual_time);
                continue;
            }
            batch.started.push(self.start(waiting, now));
        }
        batch
    }

    /// Ends a running item that was completed, and learns the pace from it.
    pub fn finish(&mut self, request: &RequestIdent, now: MilliTime) {
        if let Some(ended) = self.end(request) {
            self.pace.observe(ended.item.units, ended.started, now);
            let (pace, account) = (self.pace, &ended.item.account);
            let own = self.accounts.entry(account).pace.get_or_insert(pace);
            own.observe(ended.item.units, ended.started, now);
            self.accounts.trim(account, self.virtual_time);
        }
    }

    /// Removes an item that was cancelled or failed, wherever it is.
    pub fn cancel(&mut self, request: &RequestIdent) {
        if self.end(request).is_some() {
            return;
        }
        let found = self
            .waiting
            .iter()
            .position(|waiting| waiting.item.request == *request);
        if let Some(index) = found {
            let removed = self.remove(index);
            self.accounts.trim(&removed.item.account, self.virtual_time);
        }
    }

    /// Returns the load for reports to the entries.
    pub fn load(&self) -> LoadReport {
        let measured = self.pace.units_per_second(self.config.concurrency);
        LoadReport {
            queued_units: self.waiting_units,
            running_units: self.running_units,
            units_per_second: measured.min(self.config.units_per_second),
        }
    }

    /// Returns the requests that are running.
    pub fn running(&self) -> impl Iterator<Item = &RequestIdent> {
        self.running.iter().map(|running| &running.item.request)
    }

    /// Returns the time that an item takes once started, in milliseconds.
    ///
    /// The pace of its account counts as well, since accounts with much work progress more slowly.
    fn service_ms(&self, item: &AdmitItem) -> u64 {
        if !self.pace.is_observed() {
            let running = self.running.len() as u32 + 1;
            return PaceEstimate::new(running, self.config.units_per_second).service_ms(item.units);
        }
        let own = self.accounts.pace(&item.account).unwrap_or(self.pace);
        let usual_ms = self.pace.service_ms(item.units);
        own.service_ms(item.units).max(usual_ms)
    }

    fn start_tag(&mut self, item: &AdmitItem) -> u64 {
        let virtual_time = self.virtual_time;
        self.accounts
            .entry(&item.account)
            .finish_tag
            .max(virtual_time)
    }

    /// Returns the expected time until an item with these tags starts, in milliseconds.
    fn wait_ms(&self, priority: u8, start_tag: u64) -> u64 {
        let ahead: u64 = self
            .waiting
            .iter()
            .filter(|other| (other.item.priority, other.start_tag) <= (priority, start_tag))
            .map(|other| other.item.units)
            .sum();
        if self.running.len() < self.config.concurrency as usize {
            return self.pace.drain_ms(ahead, self.config.concurrency);
        }
        let mean_running = self.running_units / self.running.len() as u64;
        self.pace
            .drain_ms(ahead + mean_running, self.config.concurrency)
    }

    fn insert(&mut self, item: AdmitItem, start_tag: u64) {
        let length = item.units * TAG_SCALE / u64::from(item.weight.max(1));
        let finish_tag = start_tag + length.max(1);
        let share = self.accounts.entry(&item.account);
        share.finish_tag = finish_tag;
        share.waiting += 1;
        self.waiting_units += item.units;
        let key = (item.priority, start_tag);
        let index = self
            .waiting
            .partition_point(|other| (other.item.priority, other.start_tag) <= key);
        let waiting = WaitingItem {
            item,
            start_tag,
            finish_tag,
        };
        self.waiting.insert(index, waiting);
    }

    /// Refuses the items furthest beyond their account's share until the queue is within bounds.
    fn shed_excess(&mut self) -> Vec<AdmitRefusal> {
        let mut refused = Vec::new();
        // A single item may exceed the bound, as it could never be admitted otherwise.
        while self.waiting_units > self.config.queue_units && self.waiting.len() > 1 {
            let last = (0..self.waiting.len()).max_by_key(|index| {
                let waiting = &self.waiting[*index];
                (waiting.item.priority, waiting.finish_tag)
            });
            let Some(index) = last else {
                break;
            };
            let wait_ms = self
                .pace
                .drain_ms(self.waiting_units, self.config.concurrency);
            let shed = self.remove(index);
            let share = self.accounts.entry(&shed.item.account);
            // The account is not charged for work that it did not get.
            share.finish_tag = share.finish_tag.min(shed.start_tag);
            self.accounts.trim(&shed.item.account, self.virtual_time);
            let request = &shed.item.request;
            refused.push(self.refusal(request, RefusalReason::Overloaded, wait_ms));
        }
        refused
    }

    /// Returns the waiting item that is to start next, if a slot is free for it.
    fn next_index(&self) -> Option<usize> {
        let free = (self.config.concurrency as usize).checked_sub(self.running.len() + 1)?;
        let has_suspect = self.running.iter().any(|running| running.item.is_suspect);
        // One more account, so that an only account leaves the reserve to the next one.
        let fair_slots = (self.config.concurrency / (self.accounts.active() + 1)).max(1);
        let is_startable = |waiting: &WaitingItem| {
            let item = &waiting.item;
            let is_reserved = free < self.config.reserved_slots as usize;
            let may_take = !is_reserved || self.accounts.running(&item.account) < fair_slots;
            // Two suspects on one endpoint could not be told apart after a crash.
            may_take && !(item.is_suspect && has_suspect)
        };
        let first = self.waiting.iter().position(is_startable)?;
        let top = self.waiting[first].item.priority;
        let lower = self
            .waiting
            .iter()
            .position(|waiting| waiting.item.priority > top && is_startable(waiting));
        match lower {
            Some(index) if self.credit.covers(self.waiting[index].item.units) => Some(index),
            _ => Some(first),
        }
    }

    fn start(&mut self, waiting: WaitingItem, now: MilliTime) -> AdmitItem {
        let item = waiting.item;
        self.virtual_time = self.virtual_time.max(waiting.start_tag);
        self.accounts.entry(&item.account).running += 1;
        self.running_units += item.units;
        let has_lower = self
            .waiting
            .iter()
            .any(|other| other.item.priority > item.priority);
        let has_higher = self
            .waiting
            .iter()
            .any(|other| other.item.priority < item.priority);
        self.credit.start(item.units, has_lower, has_higher);
        self.running.push(RunningItem {
            item: item.clone(),
            started: now,
        });
        item
    }

    fn remove(&mut self, index: usize) -> WaitingItem {
        let removed = self.waiting.remove(index);
        self.waiting_units -= removed.item.units;
        self.accounts.entry(&removed.item.account).waiting -= 1;
        removed
    }

    fn end(&mut self, request: &RequestIdent) -> Option<RunningItem> {
        let index = self
            .running
            .iter()
            .position(|running| running.item.request == *request)?;
        let ended = self.running.swap_remove(index);
        self.running_units -= ended.item.units;
        self.accounts.entry(&ended.item.account).running -= 1;
        self.accounts.trim(&ended.item.account, self.virtual_time);
        Some(ended)
    }

    fn refusal(&self, request: &RequestIdent, reason: RefusalReason, wait_ms: u64) -> AdmitRefusal {
        AdmitRefusal {
            request: request.clone(),
            reason,
            retry_after_ms: wait_ms.clamp(100, MAX_RETRY_AFTER_MS),
        }
    }
}
