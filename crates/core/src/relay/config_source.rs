use crate::time::MilliTime;

use super::EraClock;
use super::StoreVersion;

/// What a process has read of the configuration's table: up to which version of the store, and which configuration it
/// found there.
///
/// A store that comes back from an older copy may hold an older configuration than the processes, or none. Such a read
/// must not renew the freshness of the held one: keys that were revoked would stay in use.
///
/// # Example
///
/// ```
/// use dandelionroad_core::relay::ConfigSource;
/// use dandelionroad_core::relay::EraClock;
/// use dandelionroad_core::relay::StoreVersion;
/// use dandelionroad_core::time::MilliTime;
///
/// let (start, held) = (MilliTime::from_millis(500), Some(8));
/// let mut source = ConfigSource::new(StoreVersion::new(2, 412), Some(7));
/// assert!(!source.renews(held, start, &EraClock::new()));
/// assert!(source.advance(StoreVersion::new(2, 415), Some(8)));
/// assert!(source.renews(held, start, &EraClock::new()));
/// assert!(!source.advance(StoreVersion::new(3, 413), None));
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConfigSource {
    version: StoreVersion,
    found: Option<u64>,
}

impl ConfigSource {
    /// Creates the source after a read of the whole table at a version of the store, which found a version of the
    /// configuration or none.
    pub fn new(version: StoreVersion, found: Option<u64>) -> ConfigSource {
        ConfigSource { version, found }
    }

    /// Returns the version of the store up to which the table was read.
    pub fn version(&self) -> StoreVersion {
        self.version
    }

    /// Records the changes up to a version of the store, which contain a version of the configuration or none.
    ///
    /// Returns false, without recording them, if the store has come back from an older copy, so that the whole table must
    /// be read.
    pub fn advance(&mut self, version: StoreVersion, found: Option<u64>) -> bool {
        if !version.is_of_same_era(self.version) {
            return false;
        }
        self.version = version;
        self.found = found.or(self.found);
        true
    }

    /// Returns whether a read that started at `start` shows that the held version of the configuration is the newest.
    ///
    /// A read that starts shortly after a new era was first seen doesn't: the copy may lack a configuration that the
    /// store had acknowledged and that this process has not heard of.
    pub fn renews(&self, held: Option<u64>, start: MilliTime, era: &EraClock) -> bool {
        if !self.version.names_era() {
            return held.is_some();
        }
        held.is_some() && self.found >= held && !era.is_settling(start)
    }
}
