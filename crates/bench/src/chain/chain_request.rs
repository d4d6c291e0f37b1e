use dandelionroad_core::relay::RequestSize;

/// A simulated request and the progress of its run.
#[derive(Clone, Debug)]
pub(super) struct ChainRequest {
    /// The index of the entry at which it arrives.
    pub(super) entry: usize,
    /// The index of its client account.
    pub(super) account: usize,
    /// The size that its entry knows.
    pub(super) size: RequestSize,
    /// The actual length of the answer, which its entry doesn't know, in tokens.
    pub(super) answer_tokens: f64,
    /// The target time to the first event, in milliseconds.
    pub(super) target_ms: u64,
    /// The maximum allowed time between two events, in milliseconds.
    pub(super) gap_ms: u64,
    /// The simulated time of its arrival, in milliseconds.
    pub(super) arrived_ms: f64,
    /// The simulated time of its first event, in milliseconds.
    pub(super) first_event_ms: Option<f64>,
    /// The simulated time of its last event, in milliseconds.
    pub(super) last_event_ms: f64,
    /// The longest time between two events so far, in milliseconds.
    pub(super) longest_gap_ms: f64,
    pub(super) generated_tokens: f64,
    /// The stages of its chain: the index of the engine, the KV memory that its entry reserves there in
    /// tokens times layers, and the number of layers.
    pub(super) stages: Vec<(usize, f64, u16)>,
    /// Whether it runs without a first event, so that its prompt counts as queued prefill work.
    pub(super) is_prefilling: bool,
}

impl ChainRequest {
    /// Returns the current length of its context, in tokens.
    pub(super) fn tokens(&self) -> f64 {
        f64::from(self.size.prompt_tokens) + self.generated_tokens
    }

    /// Returns whether its first event met the target time and no gap exceeded the maximum.
    pub(super) fn is_in_time(&self) -> bool {
        let first_ms = self.first_event_ms.map(|first| first - self.arrived_ms);
        first_ms.is_some_and(|first_ms| first_ms <= self.target_ms as f64)
            && self.longest_gap_ms <= self.gap_ms as f64
    }
}
