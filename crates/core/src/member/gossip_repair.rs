use super::GossipMessage;
use super::MemberTable;
use super::RangeHash;

/// The maximum number of differing ranges that one message expands; later rounds repair the rest.
const MAX_RANGES: usize = 64;

/// Performs one step of an anti-entropy repair, and returns whether `answer` must be sent.
///
/// Adds to `answer` the records of the leaves that `received` requests. For each received range
/// whose hash differs, adds the hashes of its child ranges. For a leaf whose hash differs, adds its
/// records and requests the sender's records of it.
pub(super) fn answer_ranges(
    table: &MemberTable,
    received: &GossipMessage,
    answer: &mut GossipMessage,
) -> bool {
    for leaf in received.wanted_leaves.iter().take(MAX_RANGES) {
        answer.members.extend(table.leaf_records(*leaf).cloned());
    }
    let differing = received.ranges.iter().filter(|range| {
        let is_valid = range.depth <= RangeHash::LEAF_DEPTH;
        is_valid && table.range_hash(range.prefix, range.depth) != range.hash
    });
    for range in differing.take(MAX_RANGES) {
        if range.depth == RangeHash::LEAF_DEPTH {
            answer
                .members
                .extend(table.leaf_records(range.prefix).cloned());
            answer.wanted_leaves.push(range.prefix);
        } else {
            let children = table.child_hashes(range.prefix, range.depth);
            answer.ranges.extend(children);
        }
    }
    !received.wanted_leaves.is_empty()
        || !answer.ranges.is_empty()
        || !answer.wanted_leaves.is_empty()
}
