//! What a process takes over from the platform's host list.

use crate::time::MilliTime;

use super::super::GossipAction;
use super::super::HostListing;
use super::super::MemberState;
use super::super::gossip_news::GossipNews;
use super::GossipMachine;

/// The greatest number of listed hosts that are considered.
const MAX_LISTINGS: usize = 20_000;

/// The greatest number of listed addresses that are contacted after one reading of the host list.
const MAX_CONTACTS: usize = 4;

impl GossipMachine {
    /// Merges the host list, which only adds members and marks them as leaving.
    ///
    /// A mark applies to the run of the process that was known when the mark first appeared. A
    /// process that was restarted since is not marked again by a list that lags.
    pub(super) fn merge_listings(
        &mut self,
        now: MilliTime,
        mut listings: Vec<HostListing>,
        news: &mut GossipNews,
        actions: &mut Vec<GossipAction>,
    ) {
        listings.truncate(MAX_LISTINGS);
        listings.sort_by(|left, right| left.record.name.cmp(&right.record.name));
        listings.dedup_by(|left, right| left.record.name == right.record.name);
        let mut contacts = 0;
        for listing in &listings {
            let name = &listing.record.name;
            let Some(known) = self.table.get(name).cloned() else {
                self.add_listed(now, listing, news);
                continue;
            };
            let is_same_place = known.address == listing.record.address;
            if !is_same_place && *name != self.own.name && contacts < MAX_CONTACTS {
                contacts += 1;
                actions.push(GossipAction::Send {
                    address: listing.record.address.clone(),
                    message: Box::new(self.introduction()),
                });
            }
            let is_mark = listing.leaving && is_same_place && !self.was_marked(listing);
            if is_mark && known.state == MemberState::Live {
                let mut record = known;
                record.state = MemberState::Leaving;
                if record.name == self.own.name {
                    self.meet_own(&record, news);
                } else {
                    self.merge_record(now, &record, news);
                }
            }
        }
        self.listings = listings;
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

    /// Returns whether the list that was read before had the same mark.
    fn was_marked(&self, listing: &HostListing) -> bool {
        let name = listing.record.name.as_str();
        let found = self
            .listings
            .binary_search_by(|known| known.record.name.as_str().cmp(name));
        found.is_ok_and(|index| {
            let before = &self.listings[index];
            before.leaving && before.record.address == listing.record.address
        })
    }
}
