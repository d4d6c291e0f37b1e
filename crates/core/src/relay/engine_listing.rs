use crate::route::hash_text;

use super::DeltaMismatch;
use super::EngineRecord;
use super::ListingDelta;
use super::StoreVersion;

/// The number of removals that a list remembers to answer with a delta.
///
/// A process that lags further behind receives the whole list.
const MAX_REMOVALS: usize = 4_096;

/// A registration with the store's version at which a read first found it in this form.
#[derive(Clone, Debug)]
struct ListedEngine {
    record: EngineRecord,
    hash: u64,
    changed: StoreVersion,
}

/// The list of engines as of one version of the store, with the versions at which it changed.
///
/// A process that holds an older list asks for the changes since its own version, so what the processes
/// send each other grows with the changes and not with the number of engines. Engines rewrite their
/// registrations at each heartbeat, so the versions in the store don't tell which ones changed; a list
/// compares the records themselves.
///
/// # Example
///
/// ```
/// use dandelionroad_core::relay::EngineListing;
/// use dandelionroad_core::relay::StoreVersion;
///
/// let mut reader = EngineListing::new();
/// let version = StoreVersion::new(0, 7);
/// reader.record_read(Vec::new(), version);
/// let mut follower = EngineListing::new();
/// follower.apply(reader.changes_since(follower.version())).unwrap();
/// assert_eq!((follower.version(), follower.digest()), (version, reader.digest()));
/// ```
#[derive(Clone, Debug, Default)]
pub struct EngineListing {
    version: StoreVersion,
    /// The version since which all changes are known.
    known_since: StoreVersion,
    /// Sorted by identifier.
    engines: Vec<ListedEngine>,
    /// The version at which each removed engine was found missing, in ascending order.
    removals: Vec<(StoreVersion, String)>,
    digest: u64,
}

impl EngineListing {
    /// Creates the list of a process that has read nothing, with version [`StoreVersion::UNREAD`].
    pub fn new() -> EngineListing {
        EngineListing::default()
    }

    /// Returns the version of the store that the list reflects; [`StoreVersion::UNREAD`] before the first read.
    pub fn version(&self) -> StoreVersion {
        self.version
    }

    /// Returns the digest of the registrations, equal in all processes that hold the same ones.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the registrations, sorted by identifier.
    pub fn records(&self) -> impl Iterator<Item = &EngineRecord> {
        self.engines.iter().map(|engine| &engine.record)
    }

    /// Records a read of the whole list at a version of the store.
    ///
    /// Returns what has changed, or `None` if the read is older than the held list. The first read in a new era of
    /// the store replaces a list of any version of an earlier era.
    pub fn record_read(
        &mut self,
        mut records: Vec<EngineRecord>,
        version: StoreVersion,
    ) -> Option<ListingDelta> {
        if version < self.version {
            return None;
        }
        records.sort_by(|left, right| left.id.cmp(&right.id));
        records.dedup_by(|left, right| left.id == right.id);
        let base = self.version;
        let mut delta = ListingDelta {
            base,
            version,
            digest: 0,
            changed: Vec::new(),
            removed: Vec::new(),
        };
        let mut held = self.engines.iter().peekable();
        for record in records {
            while let Some(engine) = held.next_if(|engine| engine.record.id < record.id) {
                delta.removed.push(engine.record.id.clone());
            }
            let is_same = held.peek().is_some_and(|engine| engine.record == record);
            let _ = held.next_if(|engine| engine.record.id == record.id);
            if !is_same {
                delta.changed.push(record);
            }
        }
        delta
            .removed
            .extend(held.map(|engine| engine.record.id.clone()));
        if base == StoreVersion::UNREAD {
            self.known_since = version;
        }
        self.merge(&delta);
        delta.digest = self.digest;
        Some(delta)
    }

    /// Returns the changes since a version, or the whole list if not all changes since then are known.
    pub fn changes_since(&self, version: StoreVersion) -> ListingDelta {
        let is_whole = version == StoreVersion::UNREAD || version < self.known_since;
        let changed = self.engines.iter();
        let changed = changed.filter(|engine| is_whole || engine.changed > version);
        let first_removal = match is_whole {
            true => self.removals.len(),
            false => self
                .removals
                .partition_point(|(changed, _)| *changed <= version),
        };
        let removed = self.removals[first_removal..].iter();
        // An engine that was removed and listed again is among the changed ones.
        let removed = removed.filter(|(_, id)| self.position(id).is_err());
        let mut removed: Vec<String> = removed.map(|(_, id)| id.clone()).collect();
        removed.sort_unstable();
        removed.dedup();
        ListingDelta {
            base: match is_whole {
                true => StoreVersion::UNREAD,
                false => version,
            },
            version: self.version,
            digest: self.digest,
            changed: changed.map(|engine| engine.record.clone()).collect(),
            removed,
        }
    }

    /// Applies the changes that another process found, and returns those that are new here; `None` if the
    /// held list is as new.
    ///
    /// # Errors
    ///
    /// Returns [`DeltaMismatch`] if the changes apply to a newer list than the held one or don't lead to the
    /// other process's list. The held list stays as it is, in the second case with version
    /// [`StoreVersion::UNREAD`], so that the whole list is fetched next.
    pub fn apply(&mut self, delta: ListingDelta) -> Result<Option<ListingDelta>, DeltaMismatch> {
        if delta.version < self.version {
            return Ok(None);
        }
        if delta.base > self.version {
            return Err(DeltaMismatch);
        }
        if delta.base == StoreVersion::UNREAD && delta.version > self.version {
            return Ok(self.record_read(delta.changed, delta.version));
        }
        // A registration that changed and changed back between two reads of the other process is not among
        // its changes, so the result is checked before it is adopted.
        if self.digest_after(&delta) != delta.digest {
            self.version = StoreVersion::UNREAD;
            return Err(DeltaMismatch);
        }
        if delta.version == self.version {
            return Ok(None);
        }
        self.merge(&delta);
        Ok(Some(delta))
    }

    /// Returns the digest of the list after the changes of a delta; a delta of the held version changes
    /// nothing.
    fn digest_after(&self, delta: &ListingDelta) -> u64 {
        if delta.version == self.version {
            return self.digest;
        }
        let held_hash = |id: &str| {
            let position = self.position(id);
            position.map_or(0, |index| self.engines[index].hash)
        };
        let mut digest = self.digest;
        for id in &delta.removed {
            digest = digest.wrapping_sub(held_hash(id));
        }
        for record in &delta.changed {
            digest = digest
                .wrapping_sub(held_hash(&record.id))
                .wrapping_add(record_hash(record));
        }
        digest
    }

    fn merge(&mut self, delta: &ListingDelta) {
        let mut gone: Vec<&str> = delta.removed.iter().map(String::as_str).collect();
        gone.sort_unstable();
        let mut removed_hash = 0_u64;
        let removed = self.engines.extract_if(.., |engine| {
            gone.binary_search(&engine.record.id.as_str()).is_ok()
        });
        for engine in removed {
            removed_hash = removed_hash.wrapping_add(engine.hash);
            self.removals.push((delta.version, engine.record.id));
        }
        self.digest = self.digest.wrapping_sub(removed_hash);
        let mut added = Vec::new();
        for record in &delta.changed {
            let engine = ListedEngine {
                record: record.clone(),
                hash: record_hash(record),
                changed: delta.version,
            };
            self.digest = self.digest.wrapping_add(engine.hash);
            match self.position(&record.id) {
                Ok(index) => {
                    self.digest = self.digest.wrapping_sub(self.engines[index].hash);
                    self.engines[index] = engine;
                }
                Err(_) => added.push(engine),
            }
        }
        if !added.is_empty() {
            self.engines.extend(added);
            self.engines
                .sort_by(|left, right| left.record.id.cmp(&right.record.id));
        }
        self.version = delta.version;
        let excess = self.removals.len().saturating_sub(MAX_REMOVALS);
        if let Some((version, _)) = self.removals.drain(..excess).next_back() {
            self.known_since = self.known_since.max(version);
        }
    }

    fn position(&self, id: &str) -> Result<usize, usize> {
        self.engines
            .binary_search_by(|engine| engine.record.id.as_str().cmp(id))
    }
}

/// Returns the hash of a record; the digest of a list is their sum, so that it doesn't depend on the order.
fn record_hash(record: &EngineRecord) -> u64 {
    let layers = record.layers;
    let text = format!(
        "{} {} {} {} {} {} {:?} {}-{} {}",
        record.id,
        record.service,
        record.address,
        record.zone,
        record.is_draining,
        record.slots,
        record.kind,
        layers.first,
        layers.end,
        record.started_ms,
    );
    hash_text(0, &text)
}
