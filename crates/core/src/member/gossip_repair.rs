use super::GossipMessage;
use super::MemberTable;
use super::RangeHash;

/// The greatest number of differing ranges that one message expands; the next round goes on.
const MAX_RANGES: usize = 64;

/// Answers the range hashes and wanted leaves of a message, and returns whether there was anything
/// to answer.
///
/// A differing range is answered with the hashes of its parts, a differing leaf with its records
/// and the request for those of the other side.
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
