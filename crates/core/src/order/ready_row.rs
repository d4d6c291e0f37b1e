use serde::Deserialize;
use serde::Serialize;

use crate::ident::EndpointName;

use super::LeaveVerdict;
use super::LoadTarget;
use super::ReadyEntry;

/// The content of the row `ready/<pool>`: the endpoints that currently serve the pool.
///
/// The row is changed by compare-and-set only, so that two endpoints that want to leave at the same
/// time can't each count the other one as remaining.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReadyRow {
    /// The ready endpoints, sorted by name.
    entries: Vec<ReadyEntry>,
}

impl ReadyRow {
    /// Creates an empty row.
    pub fn new() -> ReadyRow {
        ReadyRow::default()
    }

    /// Returns the ready endpoints, sorted by name.
    pub fn entries(&self) -> &[ReadyEntry] {
        &self.entries
    }

    /// Adds an endpoint or replaces its entry.
    pub fn join(&mut self, entry: &ReadyEntry) {
        match self.find(&entry.name) {
            Ok(index) => self.entries[index] = entry.clone(),
            Err(index) => self.entries.insert(index, entry.clone()),
        }
    }

    /// Removes the endpoints for which `is_gone` holds.
    pub fn remove_gone(&mut self, is_gone: impl Fn(&EndpointName) -> bool) {
        self.entries.retain(|entry| !is_gone(&entry.name));
    }

    /// Removes `name` if the remaining endpoints suffice for the pool of `target`.
    ///
    /// An endpoint that is not in the row may always leave. With `forced`, the endpoint serves
    /// nothing any more and its entry is removed regardless of what remains.
    pub fn leave(
        &mut self,
        name: &EndpointName,
        target: &LoadTarget,
        forced: bool,
    ) -> LeaveVerdict {
        let Ok(index) = self.find(name) else {
            return LeaveVerdict::Granted;
        };
        let entry = self.entries.remove(index);
        if forced || self.is_sufficient(target) {
            return LeaveVerdict::Granted;
        }
        self.entries.insert(index, entry);
        LeaveVerdict::Denied
    }

    /// Returns whether the entries meet the pool's minimum and one version covers all layers.
    ///
    /// A minimum of 0 is always met, without a check of the layers.
    fn is_sufficient(&self, target: &LoadTarget) -> bool {
        if target.min_ready == 0 {
            return true;
        }
        let is_enough = self.entries.len() as u64 >= u64::from(target.min_ready);
        is_enough
            && self
                .entries
                .iter()
                .any(|entry| self.covers(entry.version, target.layers))
    }

    /// Returns whether the entries of `version` together cover `0..layers`.
    fn covers(&self, version: u32, layers: u16) -> bool {
        let mut next = 0;
        while next < layers {
            let holders = self.entries.iter().filter(|entry| entry.version == version);
            let reach = holders
                .filter(|entry| entry.range.first <= next)
                .map(|entry| entry.range.end);
            match reach.max() {
                Some(end) if end > next => next = end,
                _ => return false,
            }
        }
        true
    }

    fn find(&self, name: &EndpointName) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.name.cmp(name))
    }
}
