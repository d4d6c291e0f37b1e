use serde::Deserialize;
use serde::Serialize;

/// A run of a request during which an engine crashed, as processes tell it each other.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashedRun {
    /// The fingerprint of the request; see [`request_fingerprint`](super::request_fingerprint).
    pub fingerprint: String,
    /// The run, which no other one has as its name.
    pub run: String,
}
