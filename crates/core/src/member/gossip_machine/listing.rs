//! What a process takes over from the platform's host list.

use crate::time::MilliTime;

use super::super::GossipAction;
use super::super::HostListing;
use super::super::MemberRecord;
use super::super::MemberState;
use super::super::gossip_news::GossipNews;
use super::GossipMachine;

/// The time by which the host list may lag, in milliseconds.
const LIST_LAG_MS: u64 = 60_000;

/// The greatest number of listed hosts that are considered.
const MAX_LISTINGS: usize = 20_000;

/// The greatest number of listed addresses that are contacted after one reading of the host list.
const MAX_CONTACTS: usize = 4;

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
                let age_ms = now.since(MilliTime::from_millis(known.incarnation));
                if age_ms < LIST_LAG_MS {
                    continue;
                }
                let marked = self.marked_record(&known);
                if known.state == MemberState::Live && marked.is_same_run(&known) {
                    self.mark_leaving(now, &known, news);
                }
                marks.push(marked);
            }
        }
        marks.sort_by(|left, right| left.name.cmp(&right.name));
        self.marks = marks;
    }

    fn contact_listed(&self, listing: &HostListing, actions: &mut Vec<GossipAction>) {
        actions.push(GossipAction::Send {
            address: listing.record.address.clone(),
            message: Box::new(self.introduction()),
        });
    }

    fn mark_leaving(&mut self, now: MilliTime, known: &MemberRecord, news: &mut GossipNews) {
        let mut record = known.clone();
        record.state = MemberState::Leaving;
        if record.name == self.own.name {
            self.meet_own(&record, news);
        } else {
            self.merge_record(now, &record, news);
        }
    }

    /// Returns the record to which the mark of a listed member applies.
    fn marked_record(&self, known: &MemberRecord) -> MemberRecord {
        let found = self
            .marks
            .binary_search_by(|mark| mark.name.as_str().cmp(&known.name));
        match found {
            Ok(index) if self.marks[index].incarnation == 0 => known.clone(),
            Ok(index) if self.marks[index].address == known.address => self.marks[index].clone(),
            _ => known.clone(),
        }
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
