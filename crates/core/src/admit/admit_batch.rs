use super::AdmitItem;
use super::AdmitRefusal;

/// What an admission queue decided at one point in time.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AdmitBatch {
    /// The items to start now, in order.
    pub started: Vec<AdmitItem>,
    /// The items that are refused; none of them was started.
    pub refused: Vec<AdmitRefusal>,
}
