//! What a process takes over from messages and events.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::config::ConfigDelta;
use crate::ident::EndpointName;
use crate::time::MilliTime;

use super::super::GossipMessage;
use super::super::MemberRecord;
use super::super::MemberState;
use super::super::Suspicion;
use super::super::gossip_news::GossipNews;
use super::GossipMachine;

/// The time after its start in which a process takes over its name from a process elsewhere, in
/// milliseconds.
const TAKE_OVER_MS: u64 = 10_000;

/// The least time between two such take-overs, in milliseconds.
const TAKE_OVER_PAUSE_MS: u64 = 1_000;

/// The greatest number of forwarded suspicions that are remembered.
const MAX_SUSPICIONS: usize = 256;

impl GossipMachine {
    /// Takes over what is new in a message, and returns the held records that are newer than those
    /// of the message.
    pub(super) fn absorb(
        &mut self,
        now: MilliTime,
        message: &GossipMessage,
        news: &mut GossipNews,
    ) -> Vec<MemberRecord> {
        self.last_contact = now;
        if let Some(delta) = &message.delta {
            self.adopt(delta, news);
        }
        for record in &message.crashes {
            if self.crashes.merge(record) {
                news.crashes.push(record.clone());
            }
        }
        for suspicion in &message.suspicions {
            self.take_suspicion(suspicion, news);
        }
        let mut outdated = Vec::new();
        for record in &message.members {
            if record.name == self.own.name {
                self.meet_own(now, record, news);
                if self.own.supersedes(record) {
                    outdated.push(self.own.clone());
                }
            } else if !self.merge_record(now, record, news)
                && let Some(known) = self.table.get(&record.name)
                && known.supersedes(record)
            {
                outdated.push(known.clone());
            }
        }
        outdated
    }

    pub(super) fn adopt(&mut self, delta: &ConfigDelta, news: &mut GossipNews) {
        let base = self.config.revision;
        if delta.revision <= base || delta.base > base {
            return;
        }
        if Arc::make_mut(&mut self.config).apply_delta(delta) {
            news.config_base.get_or_insert(base);
        }
    }

    /// Merges the record of another member and returns whether it was news.
    pub(super) fn merge_record(
        &mut self,
        now: MilliTime,
        record: &MemberRecord,
        news: &mut GossipNews,
    ) -> bool {
        let was_present = self.is_present(&record.name);
        if !is_valid(record) {
            return false;
        }
        let record = &self.with_listed_mark(record);
        if !self.table.merge(record) {
            return false;
        }
        news.members.push(record.name.clone());
        news.has_members = true;
        news.has_overlay |= was_present != self.is_present(&record.name);
        if record.state == MemberState::Gone {
            self.gone.push((record.name.clone(), now));
        }
        true
    }

    pub(super) fn is_present(&self, name: &str) -> bool {
        let record = self.table.get(name);
        record.is_some_and(|record| record.state != MemberState::Gone)
    }

    /// Refutes what others say about this process, or takes over that it is leaving.
    pub(super) fn meet_own(
        &mut self,
        now: MilliTime,
        record: &MemberRecord,
        news: &mut GossipNews,
    ) {
        let is_leaving = record.state == MemberState::Leaving && record.is_same_run(&self.own);
        if is_leaving && self.own.state == MemberState::Live {
            self.own.state = MemberState::Leaving;
            self.own.incarnation = self.own.incarnation.max(record.incarnation);
        } else if !record.supersedes(&self.own) {
            return;
        } else if record.address != self.own.address && record.state != MemberState::Gone {
            return self.meet_namesake(now, record, news);
        } else {
            self.own.incarnation = record.incarnation + 1;
        }
        self.store_own(news);
    }

    /// Yields to a process of the same name elsewhere that started later, as after a pause in which
    /// this one was replaced.
    ///
    /// A process that has just started takes the name over instead: the other record may be left
    /// from an earlier process whose clock was ahead. Without this rule the two would raise their
    /// incarnations in turn for ever.
    fn meet_namesake(&mut self, now: MilliTime, record: &MemberRecord, news: &mut GossipNews) {
        if now.since(self.started_at) < TAKE_OVER_MS {
            // Two new processes of one name contend at this pace, not at that of the network.
            if self
                .took_over_at
                .is_some_and(|last| now.since(last) < TAKE_OVER_PAUSE_MS)
            {
                return;
            }
            self.took_over_at = Some(now);
            self.own.incarnation = record.incarnation + 1;
            self.store_own(news);
            return;
        }
        if self.table.merge(record) {
            self.own.state = self.own.state.max(MemberState::Leaving);
            news.members.push(record.name.clone());
            news.has_members = true;
            news.has_own = true;
        }
    }

    pub(super) fn take_suspicion(&mut self, suspicion: &Suspicion, news: &mut GossipNews) {
        if suspicion.name == self.own.name {
            if suspicion.incarnation >= self.own.incarnation {
                self.own.incarnation = suspicion.incarnation + 1;
                self.store_own(news);
            }
            return;
        }
        let known = self.table.get(&suspicion.name);
        let is_current = known.is_some_and(|known| known.incarnation == suspicion.incarnation);
        if is_current && !self.suspicions.contains(suspicion) {
            if self.suspicions.len() == MAX_SUSPICIONS {
                self.suspicions.remove(0);
            }
            self.suspicions.push(suspicion.clone());
            news.suspicions.push(suspicion.clone());
        }
    }

    pub(super) fn store_own(&mut self, news: &mut GossipNews) {
        self.table.merge(&self.own);
        if !news.members.contains(&self.own.name) {
            news.members.push(self.own.name.clone());
        }
        news.has_members = true;
        news.has_own = true;
    }
}

/// Returns whether the name and the address of a record can be used.
fn is_valid(record: &MemberRecord) -> bool {
    let has_name = EndpointName::parse(&record.name).is_ok();
    has_name && record.address.parse::<SocketAddr>().is_ok()
}
