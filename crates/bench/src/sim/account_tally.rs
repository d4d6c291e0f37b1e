use serde::Serialize;

/// The results of a run for one client account.
#[derive(Clone, Debug, Default, Serialize)]
pub struct AccountTally {
    /// The number of requests.
    pub requests: u64,
    /// The number of refused requests.
    pub refused: u64,
    /// The account's share of the delivered work, in percent.
    pub share_percent: f64,
}
