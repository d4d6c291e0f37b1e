use super::AdmitItem;
use super::AdmitRefusal;

/// The admission decisions of one [`AdmitQueue::poll`](super::AdmitQueue::poll).
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AdmitBatch {
    /// The items to start now, in order.
    pub started: Vec<AdmitItem>,
    /// The refused items; none of them was started.
    pub refused: Vec<AdmitRefusal>,
}
