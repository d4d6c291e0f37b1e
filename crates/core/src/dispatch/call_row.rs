use serde::Deserialize;
use serde::Serialize;

/// The content of a row `call/<account>/<service>/<key>/<attempt>`.
///
/// An attempt without a row is free to dispatch. The transitions are: absent to `Dispatched`,
/// absent to `Void`, `Dispatched` to `Done`, and `Dispatched` to `Void` by the writer of
/// `Dispatched` alone, when no byte has reached the service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum CallRow {
    /// The attempt never runs. A later attempt may be dispatched.
    Void {
        /// The token of the writer, by which it recognizes its own write after a lost answer.
        token: String,
        /// Whether the writer refuses its request as `not-run`.
        ///
        /// Requests that chose this attempt before the write then end too, so that none of them
        /// runs after the caller received the refusal.
        is_refusal: bool,
        /// The time of the write in milliseconds since the Unix epoch, for the retention.
        written_ms: u64,
    },
    /// The writer, and no other process, may send the call to the service, once.
    Dispatched {
        /// The token of the writer, by which it recognizes its own write after a lost answer.
        token: String,
        /// The endpoint that runs the call.
        runner: String,
        /// The internal address of the endpoint's process.
        address: String,
        /// The incarnation of the endpoint's process.
        incarnation: u64,
        /// The fingerprint of method, path and body.
        fingerprint: String,
        /// The time of the write in milliseconds since the Unix epoch, for the retention.
        written_ms: u64,
    },
    /// The service answered.
    Done {
        /// The token of the writer of the dispatched row.
        token: String,
        /// The fingerprint of method, path and body.
        fingerprint: String,
        /// The HTTP status that the service answered with.
        status: u16,
        /// The content type of the answer.
        content_type: String,
        /// The body of the answer, or the key of the object that holds it.
        body: String,
        /// Whether `body` is the key of an object in the object store.
        in_object: bool,
        /// The time of the write in milliseconds since the Unix epoch, for the retention.
        written_ms: u64,
    },
}

impl CallRow {
    /// Returns the token of the writer.
    pub fn token(&self) -> &str {
        match self {
            CallRow::Void { token, .. }
            | CallRow::Dispatched { token, .. }
            | CallRow::Done { token, .. } => token,
        }
    }

    /// Returns the time of the write in milliseconds since the Unix epoch.
    pub fn written_ms(&self) -> u64 {
        match self {
            CallRow::Void { written_ms, .. }
            | CallRow::Dispatched { written_ms, .. }
            | CallRow::Done { written_ms, .. } => *written_ms,
        }
    }
}
