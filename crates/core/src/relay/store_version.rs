use std::fmt::Display;
use std::fmt::Formatter;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

/// A version of the store together with the era in which the store gave it out, ordered by era first.
///
/// A store that comes back from an older copy gives out versions again, so a version alone doesn't tell which of
/// two states is the newer one. The store counts these returns as its era. A store that names no era is in era 0.
///
/// # Example
///
/// ```
/// use dandelionroad_core::relay::StoreVersion;
///
/// let held = StoreVersion::new(1, 530);
/// let restored = StoreVersion::new(2, 412);
/// assert!(restored > held);
/// assert!(restored.is_of_later_era(held));
/// assert_eq!("2.412".parse(), Ok(restored));
/// assert!(!StoreVersion::new(1, 531).is_of_later_era(held));
/// ```
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct StoreVersion {
    // The derived order compares the fields in this order.
    era: u64,
    version: u64,
}

impl StoreVersion {
    /// The version before the first read.
    pub const UNREAD: StoreVersion = StoreVersion { era: 0, version: 0 };

    /// Creates a version of an era.
    pub fn new(era: u64, version: u64) -> StoreVersion {
        StoreVersion { era, version }
    }

    /// Returns the number of times that the store has come back from an older copy, as it counts them.
    pub fn era(self) -> u64 {
        self.era
    }

    /// Returns the store's version within the era.
    pub fn version(self) -> u64 {
        self.version
    }

    /// Returns whether the store names an era.
    pub fn names_era(self) -> bool {
        self.era > 0
    }

    /// Returns whether both versions were given out in the same era.
    pub fn is_of_same_era(self, other: StoreVersion) -> bool {
        self.era == other.era
    }

    /// Returns whether the store came back from an older copy between the other version and this one.
    pub fn is_of_later_era(self, other: StoreVersion) -> bool {
        self.era > other.era
    }
}

impl Display for StoreVersion {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}.{}", self.era, self.version)
    }
}

impl FromStr for StoreVersion {
    type Err = ParseIntError;

    /// Parses the form `ERA.VERSION`; a text without a point is a version of era 0.
    fn from_str(text: &str) -> Result<StoreVersion, ParseIntError> {
        let (era, version) = text.split_once('.').unwrap_or(("0", text));
        Ok(StoreVersion::new(era.parse()?, version.parse()?))
    }
}
