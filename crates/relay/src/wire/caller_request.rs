use dandelionroad_core::relay::RequestSize;

/// The routing metadata that is decoded from the headers of a caller's request.
#[derive(Clone, Debug, Default)]
pub struct CallerRequest {
    /// The identifier that the caller gives this attempt; a retry by the caller has another one.
    pub id: String,
    /// The caller's time-out, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// The API key of the client account.
    pub key: Option<String>,
    /// The identifier of the last event that the caller received, if it resumes a stream.
    pub last_event: Option<String>,
    /// The prompt and output tokens of a model request.
    pub size: RequestSize,
    /// The identifiers of the parts of the prompt that other requests may share, in order.
    pub shared_parts: Vec<String>,
}
