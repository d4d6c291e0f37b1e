use crate::ident::RequestIdent;
use crate::outcome::RefusalReason;
use crate::route::LoadReport;
use crate::time::MilliTime;

use super::AdmitBatch;
use super::AdmitConfig;
use super::AdmitItem;
use super::AdmitRefusal;
use super::account_table::AccountTable;
use super::priority_credit::PriorityCredit;
use super::service_estimate::ServiceEstimate;

/// The virtual time of one work unit at weight 1; limits rounding errors in the division by the weight.
pub(super) const TAG_SCALE: u64 = 1 << 10;

/// The maximum retry delay in a refusal, in milliseconds.
const MAX_RETRY_AFTER_MS: u64 = 10_000;

/// A waiting item and its tags for start-time fair queuing.
#[derive(Clone, Debug)]
struct WaitingItem {
    item: AdmitItem,
    start_tag: u64,
    finish_tag: u64,
}

#[derive(Clone, Debug)]
struct RunningItem {
    item: AdmitItem,
    started: MilliTime,
}

/// The admission queue of an endpoint.
///
/// Accounts share the endpoint by weighted start-time fair queuing over work units. Priority classes
/// are served in order, except for a share of the work that is reserved for lower classes. An item that
/// can't finish before its deadline is refused on arrival, or at the latest when it would start. When
/// the queue is full, it evicts the item of the lowest priority class that exceeds its account's fair
/// share by the most, which may be an item other than the new one. A refused item was never started.
#[derive(Clone, Debug)]
pub struct AdmitQueue {
    config: AdmitConfig,
    /// Sorted by priority, start tag and arrival.
    waiting: Vec<WaitingItem>,
    running: Vec<RunningItem>,
    accounts: AccountTable,
    credit: PriorityCredit,
    estimate: ServiceEstimate,
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
            accounts: AccountTable::default(),
            credit: PriorityCredit::new(config.lower_share_percent),
            estimate: ServiceEstimate::new(config.concurrency, config.units_per_second),
            virtual_time: 0,
            waiting_units: 0,
            running_units: 0,
            is_draining: false,
        }
    }

    /// Sets the configured rate, in work units per second.
    ///
    /// Service times observed so far are kept.
    pub fn set_rate(&mut self, units_per_second: u64) {
        self.config.units_per_second = units_per_second.max(1);
        if !self.estimate.is_observed() {
            let config = &self.config;
            self.estimate = ServiceEstimate::new(config.concurrency, config.units_per_second);
        }
    }

    /// Refuses all further items; items that are waiting or running still finish.
    pub fn start_draining(&mut self) {
        self.is_draining = true;
    }

    /// Returns whether no item is waiting or running.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Adds an item to the queue at `now`.
    ///
    /// Returns the refused items: the new item, or waiting items that were evicted. The new item is
    /// queued unless it is among them.
    pub fn offer(&mut self, item: AdmitItem, now: MilliTime) -> Vec<AdmitRefusal> {
        if self.is_draining {
            return vec![self.refusal(&item.request, RefusalReason::Leaving, 0)];
        }
        let start_tag = self.new_start_tag(&item);
        let wait_ms = self.wait_ms(item.priority, start_tag);
        let finish = now.plus(wait_ms + self.service_ms(&item));
        // An idle endpoint admits the item regardless of service times observed under load.
        // Otherwise it would keep refusing items and never observe shorter times.
        if finish > item.deadline && !(self.is_idle() && now < item.deadline) {
            return vec![self.refusal(&item.request, RefusalReason::Deadline, wait_ms)];
        }
        self.insert(item, start_tag);
        self.evict_excess()
    }

    /// Starts the items that have a free slot at `now`, and refuses those that would miss their
    /// deadline.
    pub fn poll(&mut self, now: MilliTime) -> AdmitBatch {
        let mut batch = AdmitBatch::default();
        while let Some(index) = self.next_index() {
            let waiting = self.remove_waiting(index);
            let finish = now.plus(self.service_ms(&waiting.item));
            let is_alone = self.running.is_empty() && now < waiting.item.deadline;
            if finish > waiting.item.deadline && !is_alone {
                let request = &waiting.item.request;
                let refusal = self.refusal(request, RefusalReason::Deadline, 0);
                batch.refused.push(refusal);
                self.accounts
                    .remove_if_idle(&waiting.item.account, self.virtual_time);
                continue;
            }
            batch.started.push(self.start(waiting, now));
        }
        batch
    }

    /// Removes a running item that completed, and records its service time.
    pub fn finish(&mut self, request: &RequestIdent, now: MilliTime) {
        if let Some(ended) = self.remove_running(request) {
            self.estimate.observe(ended.item.units, ended.started, now);
            let (estimate, account) = (self.estimate, &ended.item.account);
            let account_estimate = self
                .accounts
                .entry(account)
                .estimate
                .get_or_insert(estimate);
            account_estimate.observe(ended.item.units, ended.started, now);
            self.accounts.remove_if_idle(account, self.virtual_time);
        }
    }

    /// Removes a waiting or running item that was cancelled or failed.
    pub fn cancel(&mut self, request: &RequestIdent) {
        if self.remove_running(request).is_some() {
            return;
        }
        let found = self
            .waiting
            .iter()
            .position(|waiting| waiting.item.request == *request);
        if let Some(index) = found {
            let removed = self.remove_waiting(index);
            self.accounts
                .remove_if_idle(&removed.item.account, self.virtual_time);
        }
    }

    /// Returns the load that the endpoint reports to entries.
    pub fn load(&self) -> LoadReport {
        let measured = self.estimate.units_per_second(self.config.concurrency);
        LoadReport {
            queued_units: self.waiting_units,
            running_units: self.running_units,
            units_per_second: measured.min(self.config.units_per_second),
        }
    }

    /// Returns the identifiers of the running requests.
    pub fn running(&self) -> impl Iterator<Item = &RequestIdent> {
        self.running.iter().map(|running| &running.item.request)
    }

    /// Returns the expected service time of an item, in milliseconds.
    ///
    /// This is the larger of the estimates for the endpoint and for the account, since items of
    /// accounts with much work run more slowly.
    fn service_ms(&self, item: &AdmitItem) -> u64 {
        if !self.estimate.is_observed() {
            let running = self.running.len() as u32 + 1;
            return ServiceEstimate::new(running, self.config.units_per_second)
                .service_ms(item.units);
        }
        let account_estimate = self
            .accounts
            .estimate(&item.account)
            .unwrap_or(self.estimate);
        let endpoint_ms = self.estimate.service_ms(item.units);
        account_estimate.service_ms(item.units).max(endpoint_ms)
    }

    /// Returns the virtual start time of a new item: the virtual time, or the finish tag of the
    /// account's previous item if that is later. Adds the account if it is unknown.
    fn new_start_tag(&mut self, item: &AdmitItem) -> u64 {
        let virtual_time = self.virtual_time;
        self.accounts
            .entry(&item.account)
            .finish_tag
            .max(virtual_time)
    }

    /// Returns the expected queueing delay of an item with this priority and start tag, in milliseconds.
    fn wait_ms(&self, priority: u8, start_tag: u64) -> u64 {
        let ahead: u64 = self
            .waiting
            .iter()
            .filter(|other| (other.item.priority, other.start_tag) <= (priority, start_tag))
            .map(|other| other.item.units)
            .sum();
        if self.running.len() < self.config.concurrency as usize {
            return self.estimate.drain_ms(ahead, self.config.concurrency);
        }
        let mean_running = self.running_units / self.running.len() as u64;
        self.estimate
            .drain_ms(ahead + mean_running, self.config.concurrency)
    }

    fn insert(&mut self, item: AdmitItem, start_tag: u64) {
        let virtual_cost = item.units * TAG_SCALE / u64::from(item.weight.max(1));
        let finish_tag = start_tag + virtual_cost.max(1);
        let state = self.accounts.entry(&item.account);
        state.finish_tag = finish_tag;
        state.waiting += 1;
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

    /// Evicts the items that exceed their account's share by the most until the queue is within its
    /// limit.
    fn evict_excess(&mut self) -> Vec<AdmitRefusal> {
        let mut refused = Vec::new();
        // A single item may exceed the limit, since it could never be admitted otherwise.
        while self.waiting_units > self.config.queue_units && self.waiting.len() > 1 {
            let last = (0..self.waiting.len()).max_by_key(|index| {
                let waiting = &self.waiting[*index];
                (waiting.item.priority, waiting.finish_tag)
            });
            let Some(index) = last else {
                break;
            };
            let wait_ms = self
                .estimate
                .drain_ms(self.waiting_units, self.config.concurrency);
            let evicted = self.remove_waiting(index);
            let state = self.accounts.entry(&evicted.item.account);
            // The account is not charged for work that was not done.
            state.finish_tag = state.finish_tag.min(evicted.start_tag);
            self.accounts
                .remove_if_idle(&evicted.item.account, self.virtual_time);
            let request = &evicted.item.request;
            refused.push(self.refusal(request, RefusalReason::Overloaded, wait_ms));
        }
        refused
    }

    /// Returns the index of the waiting item to start next, if it may take a free slot.
    fn next_index(&self) -> Option<usize> {
        let free_after = (self.config.concurrency as usize).checked_sub(self.running.len() + 1)?;
        let has_suspect = self.running.iter().any(|running| running.item.is_suspect);
        // Counts one more account, so that a sole account leaves the reserved slots to the next one.
        let fair_slots = (self.config.concurrency / (self.accounts.active_count() + 1)).max(1);
        let is_startable = |waiting: &WaitingItem| {
            let item = &waiting.item;
            let is_reserved = free_after < self.config.reserved_slots as usize;
            let may_take = !is_reserved || self.accounts.running(&item.account) < fair_slots;
            // After a crash, it would be unknown which of two running suspects caused it.
            may_take && !(item.is_suspect && has_suspect)
        };
        let first = self.waiting.iter().position(is_startable)?;
        let priority = self.waiting[first].item.priority;
        let lower = self
            .waiting
            .iter()
            .position(|waiting| waiting.item.priority > priority && is_startable(waiting));
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
        self.credit.record_start(item.units, has_lower, has_higher);
        self.running.push(RunningItem {
            item: item.clone(),
            started: now,
        });
        item
    }

    fn remove_waiting(&mut self, index: usize) -> WaitingItem {
        let removed = self.waiting.remove(index);
        self.waiting_units -= removed.item.units;
        self.accounts.entry(&removed.item.account).waiting -= 1;
        removed
    }

    fn remove_running(&mut self, request: &RequestIdent) -> Option<RunningItem> {
        let index = self
            .running
            .iter()
            .position(|running| running.item.request == *request)?;
        let ended = self.running.swap_remove(index);
        self.running_units -= ended.item.units;
        self.accounts.entry(&ended.item.account).running -= 1;
        self.accounts
            .remove_if_idle(&ended.item.account, self.virtual_time);
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
