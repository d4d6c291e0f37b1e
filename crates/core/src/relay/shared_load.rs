/// What another process runs at an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedLoad {
    /// The tag of the engine.
    pub tag: u32,
    /// The number of requests.
    pub requests: u32,
    /// The memory that they take, in tokens times layers.
    pub units: f64,
    /// The prompt tokens of those without a first event.
    pub prefill_tokens: f64,
}
