//! The periodic gossip round: digest exchange, probes, seeds and gone members.

use crate::time::MilliTime;

use super::super::GossipAction;
use super::super::GossipMessage;
use super::super::MemberRecord;
use super::super::MemberRole;
use super::super::MemberState;
use super::super::Suspicion;
use super::super::gossip_repair::answer_ranges;
use super::super::gossip_update::GossipUpdate;
use super::GossipMachine;

/// The maximum time between two ticks, in milliseconds; a longer one means that this process was
/// paused.
///
/// The probes missed during a pause say nothing about the probed members.
const MAX_TICK_GAP_MS: u64 = 2_500;

/// The time for which the record of a gone member is kept and the member is contacted periodically,
/// in milliseconds.
///
/// Exceeds the longest partition between regions, one hour, so that both sides can still reach each
/// other after it heals.
const GONE_RETENTION_MS: u64 = 2 * 3_600_000;

/// The number of ticks from one contact with a gone member to the next.
const GONE_CONTACT_INTERVAL_TICKS: u64 = 5;

/// The time without a message or probe answer from any member after which the seeds are contacted
/// again, in milliseconds.
const ISOLATION_TIMEOUT_MS: u64 = 10_000;

/// The maximum number of seeds contacted in one tick.
const MAX_SEED_CONTACTS: usize = 4;

/// The maximum number of entries that a leaving process notifies directly.
const MAX_DIRECT_NOTICES: usize = 64;

/// The maximum number of other members in a small system.
///
/// In a small system all others may fail together. A suspicion that is not refuted in time therefore
/// declares the member gone even if this process has received nothing from other members since.
const MAX_SMALL_SYSTEM_PEERS: usize = 5;

impl GossipMachine {
    /// Runs one gossip round: sends a digest to one successor, probes members, and declares members
    /// gone that have not refuted their suspicion in time.
    pub(super) fn tick(
        &mut self,
        now: MilliTime,
        update: &mut GossipUpdate,
        actions: &mut Vec<GossipAction>,
    ) {
        let is_resumed = self
            .last_tick
            .is_some_and(|last| now.since(last) > MAX_TICK_GAP_MS);
        if is_resumed {
            self.probes.clear();
        }
        self.last_tick = Some(now);
        self.round += 1;
        self.send_digest(actions);
        self.contact_seeds(now, actions);
        self.send_probes(actions);
        self.expire_suspicions(now, update);
        self.remove_expired_gone(now);
        if self.round.is_multiple_of(GONE_CONTACT_INTERVAL_TICKS) {
            self.contact_gone_member(actions);
        }
    }

    /// Merges a reply, and sends back the records and configuration changes that its sender lacks and
    /// the next step of a repair.
    pub(super) fn handle_reply(
        &mut self,
        now: MilliTime,
        address: String,
        reply: &GossipMessage,
        update: &mut GossipUpdate,
        actions: &mut Vec<GossipAction>,
    ) {
        let is_digest_reply = self.digest_address.as_ref() == Some(&address);
        let newer_records = self.merge_message(now, reply, update);
        self.is_synced |= reply.members.len() >= reply.digest.count as usize;
        let mut message = self.new_message();
        let mut is_needed = !newer_records.is_empty();
        message.members = newer_records;
        if reply.digest.revision < self.config.revision {
            message.delta = Some(self.config.delta_since(reply.digest.revision));
            is_needed = true;
        }
        is_needed |= answer_ranges(&self.table, reply, &mut message);
        if is_digest_reply {
            self.digest_address = None;
            is_needed |= self.compare_digests(reply, &mut message);
        }
        if is_needed {
            actions.push(GossipAction::Send {
                address,
                message: Box::new(message),
            });
        }
    }

    pub(super) fn record_missed_probe(
        &mut self,
        now: MilliTime,
        name: &str,
        update: &mut GossipUpdate,
    ) {
        let Some(known) = self.table.get(name) else {
            return;
        };
        let incarnation = known.incarnation;
        if self.probes.record_miss(now, name, incarnation) {
            let suspicion = Suspicion {
                name: name.to_owned(),
                incarnation,
            };
            self.handle_suspicion(&suspicion, update);
        }
    }

    /// Updates the local record with the state and model that the process reports, and notifies the
    /// entries directly when the process leaves.
    pub(super) fn update_local(
        &mut self,
        record: &MemberRecord,
        update: &mut GossipUpdate,
        actions: &mut Vec<GossipAction>,
    ) {
        let is_leaving = record.state > self.local.state;
        if !is_leaving && record.held == self.local.held {
            return;
        }
        self.local.state = self.local.state.max(record.state);
        self.local.held = record.held.clone();
        self.local.sequence = record.sequence.max(self.local.sequence + 1);
        self.store_local(update);
        if !is_leaving {
            return;
        }
        let message = self.announcement();
        let entries = self.table.live(MemberRole::Entry).take(MAX_DIRECT_NOTICES);
        for entry in entries.filter(|entry| entry.name != self.local.name) {
            actions.push(GossipAction::Send {
                address: entry.address.clone(),
                message: Box::new(message.clone()),
            });
        }
    }

    fn send_digest(&mut self, actions: &mut Vec<GossipAction>) {
        let successors = self.overlay.successors();
        if successors.is_empty() {
            return;
        }
        let name = &successors[self.round as usize % successors.len()];
        let mut message = self.new_message();
        message.wants_all = !self.is_synced;
        self.send(name, message, actions);
        if let Some(GossipAction::Send { address, .. }) = actions.last() {
            self.digest_address = Some(address.clone());
        }
    }

    /// Announces the start of this process to its successors and requests all member records.
    pub(super) fn announce_start(&self, actions: &mut Vec<GossipAction>) {
        let mut message = self.announcement();
        message.wants_all = true;
        for name in self.overlay.successors() {
            self.send(name, message.clone(), actions);
        }
    }

    /// Contacts the seeds until this process is synced, and whenever it is isolated.
    fn contact_seeds(&self, now: MilliTime, actions: &mut Vec<GossipAction>) {
        if self.is_synced && now.since(self.last_contact) < ISOLATION_TIMEOUT_MS {
            return;
        }
        let mut message = self.announcement();
        message.wants_all = !self.is_synced;
        let others = self
            .seeds
            .iter()
            .filter(|seed| **seed != self.local.address);
        for address in others.take(MAX_SEED_CONTACTS) {
            actions.push(GossipAction::Send {
                address: address.clone(),
                message: Box::new(message.clone()),
            });
        }
    }

    fn send_probes(&self, actions: &mut Vec<GossipAction>) {
        let records = self.overlay.probe_targets().iter();
        for record in records.filter_map(|name| self.table.get(name)) {
            actions.push(GossipAction::Probe {
                name: record.name.clone(),
                address: record.address.clone(),
            });
        }
    }

    fn expire_suspicions(&mut self, now: MilliTime, update: &mut GossipUpdate) {
        let is_small = self.table.records().len() <= MAX_SMALL_SYSTEM_PEERS + 1;
        let last_contact = (!is_small).then_some(self.last_contact);
        for (name, incarnation) in self.probes.take_expired(now, last_contact) {
            let Some(known) = self.table.get(&name) else {
                continue;
            };
            if known.incarnation == incarnation {
                let mut record = known.clone();
                record.state = MemberState::Gone;
                self.merge_record(now, &record, update);
            }
        }
    }

    fn remove_expired_gone(&mut self, now: MilliTime) {
        let is_kept = |since: MilliTime| now.since(since) < GONE_RETENTION_MS;
        while let Some((name, since)) = self.gone_since.first()
            && !is_kept(*since)
        {
            self.table.remove_if_gone(name);
            self.gone_since.remove(0);
        }
    }

    /// Contacts the next gone member in rotation, so that the two sides of a healed partition merge again.
    fn contact_gone_member(&mut self, actions: &mut Vec<GossipAction>) {
        self.gone_since.retain(|(name, _)| {
            let record = self.table.get(name);
            record.is_some_and(|record| record.state == MemberState::Gone)
        });
        if self.gone_since.is_empty() {
            return;
        }
        let index = (self.round / GONE_CONTACT_INTERVAL_TICKS) as usize % self.gone_since.len();
        let name = &self.gone_since[index].0;
        let mut message = self.announcement();
        message.members.extend(self.table.get(name).cloned());
        self.send(name, message, actions);
    }

    /// Compares the digest of a reply with the local one. If they differ, adds the first step of a
    /// repair to `message` and returns `true`.
    ///
    /// A difference is repaired at once: pushed changes take only about 10 ms to arrive, so that few
    /// repairs are redundant.
    fn compare_digests(&mut self, reply: &GossipMessage, message: &mut GossipMessage) -> bool {
        let local = message.digest;
        if local.count.saturating_mul(2) <= reply.digest.count
            && local.members != reply.digest.members
        {
            message.wants_all = true;
            return true;
        }
        let has_other_members = reply.digest.members != local.members;
        let has_other_crashes = reply.digest.crashes != local.crashes;
        if !has_other_members && !has_other_crashes {
            return false;
        }
        if has_other_members {
            message.ranges = self.table.child_hashes(0, 0);
        }
        if has_other_crashes {
            message.crashes = self.crashes.records().to_vec();
            message.wants_crashes = true;
        }
        true
    }
}
