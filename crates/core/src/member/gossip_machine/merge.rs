//! Merging of received messages into the local copies, and conflicts over the local record.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::config::ConfigDelta;
use crate::ident::EndpointName;
use crate::time::MilliTime;

use super::super::GossipMessage;
use super::super::MemberRecord;
use super::super::MemberState;
use super::super::Suspicion;
use super::super::gossip_update::GossipUpdate;
use super::GossipMachine;

/// The time after its start in which a process claims its name from a process at another address,
/// in milliseconds.
const NAME_CLAIM_WINDOW_MS: u64 = 10_000;

/// The minimum time between two such claims, in milliseconds.
const NAME_CLAIM_INTERVAL_MS: u64 = 1_000;

/// The maximum number of forwarded suspicions that are remembered.
const MAX_FORWARDED_SUSPICIONS: usize = 256;

impl GossipMachine {
    /// Merges a message and returns the local copies of the member records that the message carries
    /// in an older version.
    pub(super) fn merge_message(
        &mut self,
        now: MilliTime,
        message: &GossipMessage,
        update: &mut GossipUpdate,
    ) -> Vec<MemberRecord> {
        self.last_contact = now;
        if let Some(delta) = &message.delta {
            self.apply_delta(delta, update);
        }
        for record in &message.crashes {
            if self.crashes.merge(record) {
                update.crashes.push(record.clone());
            }
        }
        for suspicion in &message.suspicions {
            self.handle_suspicion(suspicion, update);
        }
        let mut newer_records = Vec::new();
        for record in &message.members {
            if record.name == self.local.name {
                self.reconcile_local(now, record, update);
                if self.local.supersedes(record) {
                    newer_records.push(self.local.clone());
                }
            } else if !self.merge_record(now, record, update)
                && let Some(known) = self.table.get(&record.name)
                && known.supersedes(record)
            {
                newer_records.push(known.clone());
            }
        }
        newer_records
    }

    pub(super) fn apply_delta(&mut self, delta: &ConfigDelta, update: &mut GossipUpdate) {
        let base = self.config.revision;
        if delta.revision <= base || delta.base > base {
            return;
        }
        if Arc::make_mut(&mut self.config).apply_delta(delta) {
            update.config_base.get_or_insert(base);
        }
    }

    /// Merges the record of another member and returns whether the member table changed.
    pub(super) fn merge_record(
        &mut self,
        now: MilliTime,
        record: &MemberRecord,
        update: &mut GossipUpdate,
    ) -> bool {
        let was_present = self.is_present(&record.name);
        if !is_valid(record) {
            return false;
        }
        let record = &self.with_leaving_mark(record);
        if !self.table.merge(record) {
            return false;
        }
        update.members.push(record.name.clone());
        update.has_member_changes = true;
        update.has_overlay_change |= was_present != self.is_present(&record.name);
        if record.state == MemberState::Gone {
            self.gone_since.push((record.name.clone(), now));
        }
        true
    }

    pub(super) fn is_present(&self, name: &str) -> bool {
        let record = self.table.get(name);
        record.is_some_and(|record| record.state != MemberState::Gone)
    }

    /// Handles a received record of this process.
    ///
    /// Adopts the state `Leaving` if the record has it for the current run. Otherwise refutes a newer
    /// record with a higher incarnation, or resolves the conflict if the record comes from a process
    /// at another address.
    pub(super) fn reconcile_local(
        &mut self,
        now: MilliTime,
        record: &MemberRecord,
        update: &mut GossipUpdate,
    ) {
        let is_leaving = record.state == MemberState::Leaving && record.is_same_run(&self.local);
        if is_leaving && self.local.state == MemberState::Live {
            self.local.state = MemberState::Leaving;
            self.local.incarnation = self.local.incarnation.max(record.incarnation);
        } else if !record.supersedes(&self.local) {
            return;
        } else if record.address != self.local.address && record.state != MemberState::Gone {
            return self.resolve_name_conflict(now, record, update);
        } else {
            self.local.incarnation = record.incarnation + 1;
        }
        self.store_local(update);
    }

    /// Resolves a conflict with a process of the same name at another address whose record is newer.
    ///
    /// Yields to the other process, which started later: this happens after a pause in which this
    /// process was replaced. A process that has just started claims the name instead, because the
    /// other record may come from an earlier process whose clock was ahead. Without this rule the
    /// two processes would raise their incarnations alternately without end.
    fn resolve_name_conflict(
        &mut self,
        now: MilliTime,
        record: &MemberRecord,
        update: &mut GossipUpdate,
    ) {
        if now.since(self.started_at) < NAME_CLAIM_WINDOW_MS {
            // Limits how fast two new processes of one name raise their incarnations alternately.
            if self
                .claimed_name_at
                .is_some_and(|last| now.since(last) < NAME_CLAIM_INTERVAL_MS)
            {
                return;
            }
            self.claimed_name_at = Some(now);
            self.local.incarnation = record.incarnation + 1;
            self.store_local(update);
            return;
        }
        if self.table.merge(record) {
            self.local.state = self.local.state.max(MemberState::Leaving);
            update.members.push(record.name.clone());
            update.has_member_changes = true;
            update.has_local_change = true;
        }
    }

    pub(super) fn handle_suspicion(&mut self, suspicion: &Suspicion, update: &mut GossipUpdate) {
        if suspicion.name == self.local.name {
            if suspicion.incarnation >= self.local.incarnation {
                self.local.incarnation = suspicion.incarnation + 1;
                self.store_local(update);
            }
            return;
        }
        let known = self.table.get(&suspicion.name);
        let is_current = known.is_some_and(|known| known.incarnation == suspicion.incarnation);
        if is_current && !self.forwarded_suspicions.contains(suspicion) {
            if self.forwarded_suspicions.len() == MAX_FORWARDED_SUSPICIONS {
                self.forwarded_suspicions.remove(0);
            }
            self.forwarded_suspicions.push(suspicion.clone());
            update.suspicions.push(suspicion.clone());
        }
    }

    pub(super) fn store_local(&mut self, update: &mut GossipUpdate) {
        self.table.merge(&self.local);
        if !update.members.contains(&self.local.name) {
            update.members.push(self.local.name.clone());
        }
        update.has_member_changes = true;
        update.has_local_change = true;
    }
}

/// Returns whether the name and the address of a record are well-formed.
fn is_valid(record: &MemberRecord) -> bool {
    let has_name = EndpointName::parse(&record.name).is_ok();
    has_name && record.address.parse::<SocketAddr>().is_ok()
}
