use dandelionroad_core::chain::ChainStage;

/// The metadata that dandelionroad adds to a caller's request when it forwards it to an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineCall<'a> {
    /// The identifier of the target engine; another engine at its address must reject the request.
    pub expected_id: &'a str,
    /// The time until the request's deadline, in milliseconds.
    pub deadline_ms: u64,
    /// The name of the client account.
    pub account: Option<&'a str>,
    /// The priority of the request; 0 is the highest.
    pub priority: u8,
    /// The identifier of the event after which a stream is resumed.
    pub last_event: Option<&'a str>,
    /// The engines that run the request, in the order of their layers; empty for a plain service.
    pub chain: &'a [ChainStage],
}
