use super::MemberTable;
use super::hash::hash_text;
use super::hash::mix;

/// The number of rings; each gives one successor and one predecessor.
const RING_COUNT: usize = 4;

/// The number of successors on the first ring that a process probes.
const PROBE_COUNT: usize = 3;

/// The neighbours of a process in the overlay over which news spreads.
///
/// The members are ordered on four rings, each by another hash of the name. A process sends to its
/// successors on the rings and hears from its predecessors. The union of the rings is a random
/// regular graph of degree 8, and every ring alone connects all members. All processes with equal
/// tables agree on it without a message, and a member that comes or goes changes the neighbours of
/// 8 others only.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RingOverlay {
    successors: Vec<String>,
    probe_targets: Vec<String>,
}

impl RingOverlay {
    /// Computes the neighbours of the member `own` among the members that are not gone.
    pub fn new(table: &MemberTable, own: &str) -> RingOverlay {
        let own_hash = hash_text(own);
        let mut overlay = RingOverlay::default();
        for ring in 0..RING_COUNT {
            let key = mix(ring as u64 + 1);
            let own_place = mix(own_hash ^ key);
            let distances = table
                .present()
                .filter(|(record, _)| record.name != own)
                .map(|(record, hash)| (mix(hash ^ key).wrapping_sub(own_place), &record.name));
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

    /// Returns the names of the up to 4 successors, which the process itself contacts.
    pub fn successors(&self) -> &[String] {
        &self.successors
    }

    /// Returns the names of the up to 3 members that the process probes.
    pub fn probe_targets(&self) -> &[String] {
        &self.probe_targets
    }
}
