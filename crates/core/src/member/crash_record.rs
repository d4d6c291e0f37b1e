use serde::Deserialize;
use serde::Serialize;

/// The number of endpoints that a request crashed, as stored in the table service.
///
/// Identical requests share one record: they have the same fingerprint.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashRecord {
    /// The SHA-256 of account, model and body, in hexadecimal digits.
    pub fingerprint: String,
    /// The version of the row `crash/<fingerprint>`; a higher version is newer.
    pub version: u64,
    /// The number of crashed endpoints; reset to 0 when the request completes.
    pub count: u32,
}
