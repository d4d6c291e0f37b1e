use dandelionroad_core::relay::RequestSize;

/// What a caller's request says beside its method, path and body.
#[derive(Clone, Debug, Default)]
pub struct CallerRequest {
    /// The identifier of this attempt of the caller.
    pub id: String,
    /// How long the caller waits, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// The key that authenticates the client account.
    pub key: Option<String>,
    /// The last event that the caller received, if it resumes a stream.
    pub last_event: Option<String>,
    /// The tokens of a model request.
    pub size: RequestSize,
}
