use serde::Deserialize;
use serde::Serialize;

/// The loss of an engine while it began to run a request, as processes announce it to each other.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineCrash {
    /// The fingerprint of the request; see [`request_fingerprint`](super::request_fingerprint).
    pub fingerprint: String,
    /// The incarnation of the engine, on which equal requests count once; see
    /// [`EngineRecord::incarnation`](super::EngineRecord::incarnation).
    pub engine: String,
}
