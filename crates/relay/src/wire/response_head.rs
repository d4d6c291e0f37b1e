use super::RetryAfter;

/// The protocol fields that are decoded from the head of an engine's response.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ResponseHead {
    /// The identifier of the request to which the engine responds.
    pub request: Option<String>,
    /// Whether the engine guarantees that it has not run the request and never will.
    pub is_not_run: bool,
    /// Whether the response carries the engine's signature.
    pub is_signed: bool,
    /// The address of the engine whose failure stopped the chain.
    pub fault_address: Option<String>,
    /// Whether the engine says that it leaves.
    pub is_leaving: bool,
    /// The time for which the engine wants no requests, if it turns this one away.
    pub retry_after: Option<RetryAfter>,
}
