/// The load of one process at an engine, as processes report it to each other.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedLoad {
    /// The tag of the engine; see [`EngineEntry::tag`](super::EngineEntry::tag).
    pub tag: u32,
    /// The number of the process's requests that the engine runs.
    pub requests: u32,
    /// The KV memory of the requests, in tokens times layers.
    pub units: f64,
    /// The prompt tokens of the requests without a first event.
    pub prefill_tokens: f64,
}
