use crate::time::MilliTime;

/// The number of missed probes in a row after which a member is suspected.
const SUSPECT_AFTER_MISSES: u32 = 3;

/// The time in which a suspected member can refute the suspicion, in milliseconds.
const REFUTE_WINDOW_MS: u64 = 3_000;

/// What a prober knows about the members it probes.
#[derive(Clone, Debug, Default)]
pub(super) struct ProbeLedger {
    probed: Vec<ProbedMember>,
}

#[derive(Clone, Debug)]
struct ProbedMember {
    name: String,
    incarnation: u64,
    misses: u32,
    suspected_at: Option<MilliTime>,
}

impl ProbeLedger {
    /// Counts a missed probe and returns whether the member became suspected by it.
    pub(super) fn miss(&mut self, now: MilliTime, name: &str, incarnation: u64) -> bool {
        self.probed
            .retain(|member| member.name != name || member.incarnation == incarnation);
        let index = match self.probed.iter().position(|member| member.name == name) {
            Some(index) => index,
            None => {
                self.probed.push(ProbedMember {
                    name: name.to_owned(),
                    incarnation,
                    misses: 0,
                    suspected_at: None,
                });
                self.probed.len() - 1
            }
        };
        let member = &mut self.probed[index];
        member.misses += 1;
        let is_new = member.misses >= SUSPECT_AFTER_MISSES && member.suspected_at.is_none();
        if is_new {
            member.suspected_at = Some(now);
        }
        is_new
    }

    /// Forgets the misses of a member that answered.
    pub(super) fn answered(&mut self, name: &str) {
        self.probed.retain(|member| member.name != name);
    }

    /// Forgets all misses.
    pub(super) fn clear(&mut self) {
        self.probed.clear();
    }

    /// Removes and returns the members whose suspicion was not refuted in time.
    ///
    /// `last_contact` is the time at which any other member was last heard. Without one since the
    /// suspicion, the fault may lie with this process, and the suspicion is kept.
    pub(super) fn expired(
        &mut self,
        now: MilliTime,
        last_contact: Option<MilliTime>,
    ) -> Vec<(String, u64)> {
        let is_expired = |member: &ProbedMember| {
            member.suspected_at.is_some_and(|since| {
                let has_contact = last_contact.is_none_or(|contact| contact > since);
                has_contact && now.since(since) >= REFUTE_WINDOW_MS
            })
        };
        let expired = self.probed.iter().filter(|member| is_expired(member));
        let names = expired
            .map(|member| (member.name.clone(), member.incarnation))
            .collect();
        self.probed.retain(|member| !is_expired(member));
        names
    }
}
