use crate::time::MilliTime;

/// The number of missed probes in a row after which a member is suspected.
const SUSPECT_AFTER_MISSES: u32 = 3;

/// The time that a suspected member has to refute the suspicion, in milliseconds.
const REFUTATION_WINDOW_MS: u64 = 3_000;

/// The missed probes and suspicions of the members that a process probes.
#[derive(Clone, Debug, Default)]
pub(super) struct ProbeTracker {
    probed: Vec<ProbedMember>,
}

#[derive(Clone, Debug)]
struct ProbedMember {
    name: String,
    incarnation: u64,
    misses: u32,
    suspected_at: Option<MilliTime>,
}

impl ProbeTracker {
    /// Records a missed probe and returns whether the member is now newly suspected.
    ///
    /// Misses of another incarnation of the member are discarded.
    pub(super) fn record_miss(&mut self, now: MilliTime, name: &str, incarnation: u64) -> bool {
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

    /// Records an answer: clears the misses and the suspicion of the member.
    pub(super) fn record_answer(&mut self, name: &str) {
        self.probed.retain(|member| member.name != name);
    }

    /// Clears the misses and suspicions of all members.
    pub(super) fn clear(&mut self) {
        self.probed.clear();
    }

    /// Removes and returns the names and incarnations of the members whose suspicion was not refuted
    /// in time.
    ///
    /// `last_contact` is the time of the last message from any other member. If none has arrived
    /// since the suspicion, this process may itself be disconnected, and the suspicion is kept.
    /// `None` disables this check.
    pub(super) fn take_expired(
        &mut self,
        now: MilliTime,
        last_contact: Option<MilliTime>,
    ) -> Vec<(String, u64)> {
        let is_expired = |member: &ProbedMember| {
            member.suspected_at.is_some_and(|since| {
                let has_contact = last_contact.is_none_or(|contact| contact > since);
                has_contact && now.since(since) >= REFUTATION_WINDOW_MS
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
