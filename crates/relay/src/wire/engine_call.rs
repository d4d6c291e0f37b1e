use dandelionroad_core::chain::ChainStage;

/// What dandelionroad tells an engine beside the caller's own words.
#[derive(Clone, Copy, Debug)]
pub struct EngineCall<'a> {
    /// The identifier of the engine that is meant; another one at its address must not run it.
    pub expected_id: &'a str,
    /// The time that is left, in milliseconds.
    pub deadline_ms: u64,
    /// The client account.
    pub account: Option<&'a str>,
    /// The rank of the request, 0 first.
    pub priority: u8,
    /// The last event that the caller has received, if the stream is to go on after it.
    pub last_event: Option<&'a str>,
    /// The engines that run the request one after the other; empty for a plain service.
    pub chain: &'a [ChainStage],
}
