use std::sync::Arc;

use super::MemberRecord;
use super::MemberRole;
use super::MemberState;
use super::RangeHash;
use super::hash::fold_to_u32;
use super::hash::hash_text;
use super::hash::mix;

/// The number of hash bits that select a leaf of the hash tree.
const LEAF_BITS: u32 = 4 * RangeHash::LEAF_DEPTH as u32;

/// The number of processes that poll the platform, independent of the size of the system.
const POLLER_COUNT: usize = 3;

/// The member records that a process holds, sorted by name.
///
/// A hash tree over the members that are not gone lets two processes find the differences between
/// their tables with a few small messages. Gone members are excluded from the tree, so that each
/// process may remove them at a different time without a difference between the hashes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberTable {
    entries: Vec<Arc<MemberEntry>>,
    leaves: Vec<u64>,
    root: u64,
}

#[derive(Debug, Eq, PartialEq)]
struct MemberEntry {
    record: MemberRecord,
    name_hash: u64,
}

impl MemberEntry {
    fn leaf(&self) -> usize {
        (self.name_hash >> (64 - LEAF_BITS)) as usize
    }

    /// Returns the hash that the record contributes to its leaf; 0 if the member is gone.
    fn state_hash(&self) -> u64 {
        let record = &self.record;
        if record.state == MemberState::Gone {
            return 0;
        }
        let version = mix(record.incarnation) ^ mix(record.sequence.wrapping_add(1) << 2);
        mix(self.name_hash ^ version ^ record.state as u64)
    }
}

impl Default for MemberTable {
    fn default() -> MemberTable {
        MemberTable::new()
    }
}

impl MemberTable {
    /// Creates an empty table.
    pub fn new() -> MemberTable {
        MemberTable {
            entries: Vec::new(),
            leaves: vec![0; 1 << LEAF_BITS],
            root: 0,
        }
    }

    /// Merges a record and returns whether the table changed.
    ///
    /// A record of an unknown member that is gone is ignored, so that a removed member is not added
    /// again.
    pub fn merge(&mut self, record: &MemberRecord) -> bool {
        let found = self.find(&record.name);
        match found {
            Ok(index) if !record.supersedes(&self.entries[index].record) => return false,
            Err(_) if record.state == MemberState::Gone => return false,
            _ => {}
        }
        let entry = Arc::new(MemberEntry {
            name_hash: hash_text(&record.name),
            record: record.clone(),
        });
        self.xor_hash(&entry);
        match found {
            Ok(index) => {
                let replaced = std::mem::replace(&mut self.entries[index], entry);
                self.xor_hash(&replaced);
            }
            Err(index) => self.entries.insert(index, entry),
        }
        true
    }

    /// Removes the record of `name` if the member is gone.
    pub fn remove_if_gone(&mut self, name: &str) {
        if let Ok(index) = self.find(name)
            && self.entries[index].record.state == MemberState::Gone
        {
            self.entries.remove(index);
        }
    }

    /// Returns the record of `name`.
    pub fn get(&self, name: &str) -> Option<&MemberRecord> {
        let index = self.find(name).ok()?;
        Some(&self.entries[index].record)
    }

    /// Returns all records, sorted by name.
    pub fn records(&self) -> impl ExactSizeIterator<Item = &MemberRecord> {
        self.entries.iter().map(|entry| &entry.record)
    }

    /// Returns the live members of `role`, sorted by name.
    pub fn live(&self, role: MemberRole) -> impl Iterator<Item = &MemberRecord> {
        self.records()
            .filter(move |record| record.role == role && record.state == MemberState::Live)
    }

    /// Returns whether the member `name` polls the table service and the host list.
    ///
    /// The pollers are the three live entries with the lowest names.
    pub fn is_poller(&self, name: &str) -> bool {
        let mut pollers = self.live(MemberRole::Entry).take(POLLER_COUNT);
        pollers.any(|entry| entry.name == name)
    }

    /// Returns the records of members that are not gone, each with the hash of its name.
    pub(super) fn present_members(&self) -> impl Iterator<Item = (&MemberRecord, u64)> {
        let present = self
            .entries
            .iter()
            .filter(|entry| entry.record.state != MemberState::Gone);
        present.map(|entry| (&entry.record, entry.name_hash))
    }

    /// Returns the hash over all members that are not gone.
    pub fn root_hash(&self) -> u32 {
        fold_to_u32(self.root)
    }

    /// Returns the hashes of the 16 child ranges of the range `prefix` with `depth` digits.
    pub fn child_hashes(&self, prefix: u16, depth: u8) -> Vec<RangeHash> {
        let children = (0..16).map(|digit| (prefix << 4) | digit);
        let hashes = children.map(|child| RangeHash {
            prefix: child,
            depth: depth + 1,
            hash: self.range_hash(child, depth + 1),
        });
        hashes.collect()
    }

    /// Returns the hash over the range `prefix` with `depth` digits.
    pub fn range_hash(&self, prefix: u16, depth: u8) -> u32 {
        let width = 4 * u32::from(RangeHash::LEAF_DEPTH.saturating_sub(depth));
        let start = (usize::from(prefix) << width).min(self.leaves.len());
        let end = (start + (1 << width)).min(self.leaves.len());
        let hash = self.leaves[start..end]
            .iter()
            .fold(0, |hash, leaf| hash ^ leaf);
        fold_to_u32(hash)
    }

    /// Returns the records of one leaf of the hash tree, including members that are gone.
    pub fn leaf_records(&self, leaf: u16) -> impl Iterator<Item = &MemberRecord> {
        self.entries
            .iter()
            .filter(move |entry| entry.leaf() == usize::from(leaf))
            .map(|entry| &entry.record)
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|known| known.record.name.as_str().cmp(name))
    }

    /// Combines the hash of the entry with the hash tree by XOR, which adds it if the tree does not
    /// contain it and removes it otherwise.
    fn xor_hash(&mut self, entry: &MemberEntry) {
        let hash = entry.state_hash();
        self.leaves[entry.leaf()] ^= hash;
        self.root ^= hash;
    }
}
