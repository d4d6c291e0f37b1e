use super::MemberTable;
use super::hash::hash_text;
use super::hash::mix;

/// The number of rings; each contributes one successor and one predecessor.
const RING_COUNT: usize = 4;

/// The number of members that a process probes: its nearest successors on the first ring.
const PROBE_COUNT: usize = 3;

/// The neighbours of a process in the overlay network that gossip uses.
///
/// The members are ordered on four rings, each by a different hash of the name. A process sends to
/// its successor on each ring and receives from its predecessors. The union of the rings is a random
/// regular graph of degree 8, and each ring alone connects all members. Processes with equal member
/// tables compute the same overlay without communication, and a member that joins or leaves changes
/// the neighbours of only 8 others.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RingOverlay {
    successors: Vec<String>,
    probe_targets: Vec<String>,
}

impl RingOverlay {
    /// Computes the neighbours of the member `own_name` among the members that are not gone.
    pub fn new(table: &MemberTable, own_name: &str) -> RingOverlay {
        let own_hash = hash_text(own_name);
        let mut overlay = RingOverlay::default();
        for ring in 0..RING_COUNT {
            let key = mix(ring as u64 + 1);
            let own_position = mix(own_hash ^ key);
            let distances = table
                .present_members()
                .filter(|(record, _)| record.name != own_name)
                .map(|(record, hash)| (mix(hash ^ key).wrapping_sub(own_position), &record.name));
            let mut distances: Vec<(u64, &String)> = distances.collect();
            let Some(first) = distances.iter().min() else {
                break;
            };
            if !overlay.successors.contains(first.1) {
                overlay.successors.push(first.1.clone());
            }
            if ring == 0 {
                let count = PROBE_COUNT.min(distances.len());
                distances.select_nth_unstable(count - 1);
                distances.truncate(count);
                overlay.probe_targets = distances.iter().map(|(_, name)| (*name).clone()).collect();
            }
        }
        overlay
    }

    /// Returns the names of up to 4 successors, to which the process sends its messages.
    pub fn successors(&self) -> &[String] {
        &self.successors
    }

    /// Returns the names of up to 3 members that the process probes.
    pub fn probe_targets(&self) -> &[String] {
        &self.probe_targets
    }
}
