use serde::Deserialize;
use serde::Serialize;

/// How many endpoints the request with one fingerprint has crashed, as the table service has it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashRecord {
    /// The SHA-256 of account, model and body, in hexadecimal digits.
    pub fingerprint: String,
    /// The version of the row `crash/<fingerprint>`; the higher one is newer.
    pub version: u64,
    /// The count; 0 after a completion.
    pub count: u32,
}
