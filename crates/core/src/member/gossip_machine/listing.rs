//! What a process takes over from the platform's host list.

use crate::time::MilliTime;

use super::super::GossipAction;
use super::super::HostListing;
use super::super::MemberRecord;
use super::super::MemberState;
use super::super::gossip_news::GossipNews;
use super::GossipMachine;

/// The time by which the host list may lag, in milliseconds.
const LIST_LAG_MS: u64 = 30_000;

/// The greatest number of listed hosts that are considered.
const MAX_LISTINGS: usize = 20_000;

/// The greatest number of listed addresses that are contacted after one reading of the host list.
const MAX_CONTACTS: usize = 4;

/// The mark of the host list that a member is leaving.
#[derive(Clone, Debug)]
pub(super) struct ListedMark {
    /// The member as it was known when the mark appeared.
    record: MemberRecord,
    /// When the mark appeared.
    since: MilliTime,
}

impl GossipMachine {
    /// Merges the host list, which only adds members and marks them as leaving.
    ///
    /// A mark applies to the run of the process that was known when the mark first appeared, and
    /// not to a run that is younger than the list may lag: a process that was restarted under its
    /// address is not marked by the state of its earlier run.
    pub(super) fn merge_listings(
        &mut self,
        now: MilliTime,
        listings: &[HostListing],
        news: &mut GossipNews,
        actions: &mut Vec<GossipAction>,
    ) {
        let mut contacts = 0;
        let mut marks = Vec::new();
        for listing in listings.iter().take(MAX_LISTINGS) {
            let name = &listing.record.name;
            let Some(known) = self.table.get(name).cloned() else {
                self.add_listed(now, listing, news);
                if listing.leaving {
                    marks.push(self.mark_of(now, &listing.record));
                }
                continue;
            };
            if known.address != listing.record.address {
                if *name != self.own.name && contacts < MAX_CONTACTS {
                    contacts += 1;
                    self.contact_listed(listing, actions);
                }
                continue;
            }
            if listing.leaving {
                if is_young(&known, now) {
                    continue;
                }
                let mark = self.mark_of(now, &known);
                if known.state == MemberState::Live && mark.record.is_same_run(&known) {
                    self.mark_leaving(now, &known, news);
                }
                marks.push(mark);
            }
        }
        marks.sort_by(|left, right| left.record.name.cmp(&right.record.name));
        self.marks = marks;
    }

    /// Returns the first record heard of a member, with the mark that the list gave the member.
    pub(super) fn with_listed_mark(&self, record: &MemberRecord) -> MemberRecord {
        let mut record = record.clone();
        let known = self.table.get(&record.name);
        let is_first = known.is_some_and(|known| known.incarnation == 0);
        if is_first
            && record.state == MemberState::Live
            && let Some(mark) = self.find_mark(&record.name)
            && mark.record.address == record.address
            && !is_young(&record, mark.since)
        {
            record.state = MemberState::Leaving;
        }
        record
    }

    fn contact_listed(&self, listing: &HostListing, actions: &mut Vec<GossipAction>) {
        actions.push(GossipAction::Send {
            address: listing.record.address.clone(),
            message: Box::new(self.announcement()),
        });
    }

    fn mark_leaving(&mut self, now: MilliTime, known: &MemberRecord, news: &mut GossipNews) {
        let mut record = known.clone();
        record.state = MemberState::Leaving;
        if record.name == self.own.name {
            self.meet_own(now, &record, news);
        } else {
            self.merge_record(now, &record, news);
        }
    }

    /// Returns the mark of a listed member: the earlier one, or a new one for the known run.
    fn mark_of(&self, now: MilliTime, known: &MemberRecord) -> ListedMark {
        let earlier = self
            .find_mark(&known.name)
            .filter(|mark| mark.record.address == known.address);
        match earlier {
            Some(mark) if mark.record.incarnation > 0 => mark.clone(),
            Some(mark) => ListedMark {
                record: known.clone(),
                since: mark.since,
            },
            None => ListedMark {
                record: known.clone(),
                since: now,
            },
        }
    }

    fn find_mark(&self, name: &str) -> Option<&ListedMark> {
        let found = self
            .marks
            .binary_search_by(|mark| mark.record.name.as_str().cmp(name));
        Some(&self.marks[found.ok()?])
    }

    /// Adds a member that only the list knows, without pushing it: the process tells of itself.
    fn add_listed(&mut self, now: MilliTime, listing: &HostListing, news: &mut GossipNews) {
        let mut record = listing.record.clone();
        if listing.leaving {
            record.state = MemberState::Leaving;
        }
        let pushed = news.members.len();
        self.merge_record(now, &record, news);
        news.members.truncate(pushed);
    }
}

/// Returns whether a run had started so lately that a list read at `time` may tell of an earlier one.
fn is_young(record: &MemberRecord, time: MilliTime) -> bool {
    time.since(MilliTime::from_millis(record.incarnation)) < LIST_LAG_MS
}
