use serde::Deserialize;
use serde::Serialize;

/// A half-open range of model layers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct LayerRange {
    /// The first layer of the range.
    pub first: u16,
    /// The layer after the last layer of the range.
    pub end: u16,
}

impl LayerRange {
    /// Creates the range `first..end`.
    pub const fn new(first: u16, end: u16) -> LayerRange {
        LayerRange { first, end }
    }

    /// Returns the number of layers.
    pub const fn len(self) -> u16 {
        self.end.saturating_sub(self.first)
    }

    /// Returns whether the range contains no layers.
    pub const fn is_empty(self) -> bool {
        self.end <= self.first
    }
}
