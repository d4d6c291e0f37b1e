use dandelionroad_core::relay::RequestSize;

/// A simulated request.
#[derive(Clone, Debug)]
pub(super) struct ChainRequest {
    pub(super) entry: usize,
    pub(super) account: usize,
    pub(super) size: RequestSize,
    pub(super) answer_tokens: f64,
    pub(super) target_ms: u64,
    pub(super) gap_ms: u64,
    /// When it arrived, in milliseconds.
    pub(super) arrived: f64,
    pub(super) first: Option<f64>,
    pub(super) last_event: f64,
    pub(super) longest_gap: f64,
    pub(super) written: f64,
    /// The memory that its entry reserved at each engine of its chain.
    pub(super) chain: Vec<(usize, f64, u16)>,
    /// Whether its prompt still waits for its first event.
    pub(super) is_reading: bool,
}

impl ChainRequest {
    /// Returns the tokens that are held at each part of its chain now.
    pub(super) fn tokens(&self) -> f64 {
        f64::from(self.size.prompt_tokens) + self.written
    }

    /// Returns whether it was served without a late event.
    pub(super) fn is_in_time(&self) -> bool {
        let first_ms = self.first.map(|first| first - self.arrived);
        first_ms.is_some_and(|first_ms| first_ms <= self.target_ms as f64)
            && self.longest_gap <= self.gap_ms as f64
    }
}
