//! Merges the platform's host list into the member table.

use crate::time::MilliTime;

use super::super::GossipAction;
use super::super::HostListing;
use super::super::MemberRecord;
use super::super::MemberState;
use super::super::gossip_update::GossipUpdate;
use super::GossipMachine;

/// The maximum lag of the host list, in milliseconds.
const HOST_LIST_LAG_MS: u64 = 30_000;

/// The maximum number of entries of the host list that are read.
const MAX_LISTINGS: usize = 20_000;

/// The maximum number of listed addresses that are contacted after each reading of the host list.
const MAX_CONTACTS: usize = 4;

/// A member that the host list marks as leaving.
#[derive(Clone, Debug)]
pub(super) struct LeavingMark {
    /// The record of the marked run: the one known when the mark first appeared, or the first one
    /// received from the process if it was known only from the list.
    record: MemberRecord,
    /// When the mark first appeared.
    since: MilliTime,
}

impl GossipMachine {
    /// Merges the host list, which only adds members and marks members as leaving.
    ///
    /// A mark applies to the run of the process that was known when the mark first appeared. It does
    /// not apply to a run that is younger than the maximum lag of the list, so that a process
    /// restarted at the same address is not marked because of its earlier run.
    pub(super) fn merge_listings(
        &mut self,
        now: MilliTime,
        listings: &[HostListing],
        update: &mut GossipUpdate,
        actions: &mut Vec<GossipAction>,
    ) {
        let mut contacts = 0;
        let mut marks = Vec::new();
        for listing in listings.iter().take(MAX_LISTINGS) {
            let name = &listing.record.name;
            let Some(known) = self.table.get(name).cloned() else {
                self.add_listed_member(now, listing, update);
                if listing.leaving {
                    marks.push(self.leaving_mark(now, &listing.record));
                }
                continue;
            };
            if known.address != listing.record.address {
                if *name != self.local.name && contacts < MAX_CONTACTS {
                    contacts += 1;
                    self.contact_listed_address(listing, actions);
                }
                continue;
            }
            if listing.leaving {
                if is_recent_run(&known, now) {
                    continue;
                }
                let mark = self.leaving_mark(now, &known);
                if known.state == MemberState::Live && mark.record.is_same_run(&known) {
                    self.mark_leaving(now, &known, update);
                }
                marks.push(mark);
            }
        }
        marks.sort_by(|left, right| left.record.name.cmp(&right.record.name));
        self.leaving_marks = marks;
    }

    /// Returns a copy of a received record, with the state `Leaving` if the host list marks it so.
    ///
    /// The mark applies only to the first record of a member that was known only from the list.
    pub(super) fn with_leaving_mark(&self, record: &MemberRecord) -> MemberRecord {
        let mut record = record.clone();
        let known = self.table.get(&record.name);
        let is_first = known.is_some_and(|known| known.incarnation == 0);
        if is_first
            && record.state == MemberState::Live
            && let Some(mark) = self.find_mark(&record.name)
            && mark.record.address == record.address
            && !is_recent_run(&record, mark.since)
        {
            record.state = MemberState::Leaving;
        }
        record
    }

    fn contact_listed_address(&self, listing: &HostListing, actions: &mut Vec<GossipAction>) {
        actions.push(GossipAction::Send {
            address: listing.record.address.clone(),
            message: Box::new(self.announcement()),
        });
    }

    fn mark_leaving(&mut self, now: MilliTime, known: &MemberRecord, update: &mut GossipUpdate) {
        let mut record = known.clone();
        record.state = MemberState::Leaving;
        if record.name == self.local.name {
            self.reconcile_local(now, &record, update);
        } else {
            self.merge_record(now, &record, update);
        }
    }

    /// Returns the mark of a listed member: the earlier mark, or a new one for the known run.
    fn leaving_mark(&self, now: MilliTime, known: &MemberRecord) -> LeavingMark {
        let earlier = self
            .find_mark(&known.name)
            .filter(|mark| mark.record.address == known.address);
        match earlier {
            Some(mark) if mark.record.incarnation > 0 => mark.clone(),
            Some(mark) => LeavingMark {
                record: known.clone(),
                since: mark.since,
            },
            None => LeavingMark {
                record: known.clone(),
                since: now,
            },
        }
    }

    fn find_mark(&self, name: &str) -> Option<&LeavingMark> {
        let found = self
            .leaving_marks
            .binary_search_by(|mark| mark.record.name.as_str().cmp(name));
        Some(&self.leaving_marks[found.ok()?])
    }

    /// Adds a member known only from the host list. The record is not pushed, because the process
    /// announces itself.
    fn add_listed_member(
        &mut self,
        now: MilliTime,
        listing: &HostListing,
        update: &mut GossipUpdate,
    ) {
        let mut record = listing.record.clone();
        if listing.leaving {
            record.state = MemberState::Leaving;
        }
        let pushed_count = update.members.len();
        self.merge_record(now, &record, update);
        update.members.truncate(pushed_count);
    }
}

/// Returns whether a run started so recently that a host list read at `time` may still describe an
/// earlier run.
fn is_recent_run(record: &MemberRecord, time: MilliTime) -> bool {
    time.since(MilliTime::from_millis(record.incarnation)) < HOST_LIST_LAG_MS
}
