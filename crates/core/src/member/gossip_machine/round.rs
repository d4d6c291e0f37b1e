//! The regular work of a process: digests, probes, and what follows from their answers.

use crate::time::MilliTime;

use super::super::GossipAction;
use super::super::GossipMessage;
use super::super::MemberRecord;
use super::super::MemberRole;
use super::super::MemberState;
use super::super::Suspicion;
use super::super::gossip_news::GossipNews;
use super::super::gossip_repair::answer_ranges;
use super::GossipMachine;

/// The time between ticks after which a process counts as having been paused, in milliseconds.
///
/// Its missed probes then tell nothing about the probed members.
const PAUSE_MS: u64 = 2_500;

/// The time for which a member that is gone is kept and contacted now and then, in milliseconds.
///
/// Longer than the hour for which regions can lose each other.
const GONE_RETENTION_MS: u64 = 2 * 3_600_000;

/// The number of ticks between contacts with members that are gone.
const GONE_CONTACT_TICKS: u64 = 5;

/// The time without any contact after which the seeds are contacted again, in milliseconds.
const ISOLATED_MS: u64 = 10_000;

/// The greatest number of seeds that are contacted in one tick.
const MAX_SEED_CONTACTS: usize = 4;

/// The greatest number of entries that a leaving process notifies itself.
const MAX_DIRECT_NOTICES: usize = 64;

/// A system with at most so many other members accepts every expired suspicion, because all others
/// may fail together.
const SMALL_SYSTEM: usize = 5;

impl GossipMachine {
    /// Exchanges a digest with one neighbour, probes, and acts on expired suspicions.
    pub(super) fn tick(
        &mut self,
        now: MilliTime,
        news: &mut GossipNews,
        actions: &mut Vec<GossipAction>,
    ) {
        let is_resumed = self
            .last_tick
            .is_some_and(|last| now.since(last) > PAUSE_MS);
        if is_resumed {
            self.probes.clear();
        }
        self.last_tick = Some(now);
        self.round += 1;
        self.send_digest(actions);
        self.contact_seeds(now, actions);
        self.send_probes(actions);
        self.expire_suspicions(now, news);
        self.forget_gone(now);
        if self.round.is_multiple_of(GONE_CONTACT_TICKS) {
            self.contact_gone(actions);
        }
    }

    /// Takes over a reply, and sends the other side what it lacks.
    pub(super) fn take_reply(
        &mut self,
        now: MilliTime,
        address: String,
        reply: &GossipMessage,
        news: &mut GossipNews,
        actions: &mut Vec<GossipAction>,
    ) {
        let is_digest_reply = self.digest_address.as_ref() == Some(&address);
        let outdated = self.absorb(now, reply, news);
        self.is_synced |= reply.members.len() >= reply.digest.count as usize;
        let mut message = self.new_message();
        let mut is_needed = !outdated.is_empty();
        message.members = outdated;
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

    pub(super) fn miss_probe(&mut self, now: MilliTime, name: &str, news: &mut GossipNews) {
        let Some(known) = self.table.get(name) else {
            return;
        };
        let incarnation = known.incarnation;
        if self.probes.miss(now, name, incarnation) {
            let suspicion = Suspicion {
                name: name.to_owned(),
                incarnation,
            };
            self.take_suspicion(&suspicion, news);
        }
    }

    /// Takes over what the process says of itself, and tells the entries when it leaves.
    pub(super) fn change_own(
        &mut self,
        record: &MemberRecord,
        news: &mut GossipNews,
        actions: &mut Vec<GossipAction>,
    ) {
        let is_leaving = record.state > self.own.state;
        if !is_leaving && record.held == self.own.held {
            return;
        }
        self.own.state = self.own.state.max(record.state);
        self.own.held = record.held.clone();
        self.own.sequence = record.sequence.max(self.own.sequence + 1);
        self.store_own(news);
        if !is_leaving {
            return;
        }
        let message = self.announcement();
        let entries = self.table.live(MemberRole::Entry).take(MAX_DIRECT_NOTICES);
        for entry in entries.filter(|entry| entry.name != self.own.name) {
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

    /// Tells the neighbours that this process has started, and asks them for all members.
    pub(super) fn introduce(&self, actions: &mut Vec<GossipAction>) {
        let mut message = self.announcement();
        message.wants_all = true;
        for name in self.overlay.successors() {
            self.send(name, message.clone(), actions);
        }
    }

    /// Contacts the seeds while nobody else is heard.
    fn contact_seeds(&self, now: MilliTime, actions: &mut Vec<GossipAction>) {
        if self.is_synced && now.since(self.last_contact) < ISOLATED_MS {
            return;
        }
        let mut message = self.announcement();
        message.wants_all = !self.is_synced;
        let others = self.seeds.iter().filter(|seed| **seed != self.own.address);
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

    fn expire_suspicions(&mut self, now: MilliTime, news: &mut GossipNews) {
        let is_small = self.table.records().len() <= SMALL_SYSTEM + 1;
        let last_contact = (!is_small).then_some(self.last_contact);
        for (name, incarnation) in self.probes.expired(now, last_contact) {
            let Some(known) = self.table.get(&name) else {
                continue;
            };
            if known.incarnation == incarnation {
                let mut record = known.clone();
                record.state = MemberState::Gone;
                self.merge_record(now, &record, news);
            }
        }
    }

    fn forget_gone(&mut self, now: MilliTime) {
        let is_kept = |since: MilliTime| now.since(since) < GONE_RETENTION_MS;
        while let Some((name, since)) = self.gone.first()
            && !is_kept(*since)
        {
            self.table.remove_gone(name);
            self.gone.remove(0);
        }
    }

    /// Contacts one of the members that are gone, so that two parts of the system that lost each
    /// other meet again.
    fn contact_gone(&mut self, actions: &mut Vec<GossipAction>) {
        self.gone.retain(|(name, _)| {
            let record = self.table.get(name);
            record.is_some_and(|record| record.state == MemberState::Gone)
        });
        if self.gone.is_empty() {
            return;
        }
        let turn = (self.round / GONE_CONTACT_TICKS) as usize % self.gone.len();
        let name = &self.gone[turn].0;
        let mut message = self.announcement();
        message.members.extend(self.table.get(name).cloned());
        self.send(name, message, actions);
    }

    /// Compares the digest of a reply with the own one, adds the start of a repair to `message` if
    /// one is needed, and returns whether it is.
    ///
    /// A difference is repaired at once: news is on its way for some 10 ms only, so that few repairs
    /// are in vain.
    fn compare_digests(&mut self, reply: &GossipMessage, message: &mut GossipMessage) -> bool {
        let own = message.digest;
        if own.count.saturating_mul(2) <= reply.digest.count && own.members != reply.digest.members
        {
            message.wants_all = true;
            return true;
        }
        let has_members = reply.digest.members != own.members;
        let has_crashes = reply.digest.crashes != own.crashes;
        if !has_members && !has_crashes {
            return false;
        }
        if has_members {
            message.ranges = self.table.child_hashes(0, 0);
        }
        if has_crashes {
            message.crashes = self.crashes.records().to_vec();
            message.wants_crashes = true;
        }
        true
    }
}
