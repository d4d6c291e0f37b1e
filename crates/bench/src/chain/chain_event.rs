/// An event of a simulation.
///
/// Events at the same time are handled in the order of the derived [`Ord`].
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum ChainEvent {
    /// The next request arrives.
    Arrival,
    /// An engine ends its pass.
    PassEnd(usize),
    /// A request arrives at the engine of a stage of its chain.
    Hop {
        request: usize,
        stage: usize,
        /// Whether the engine prefills the prompt; otherwise it decodes the next tokens.
        is_prompt: bool,
    },
    /// An entry reports its loads.
    Report(usize),
    /// The maximum waiting time of a queued request has passed.
    WaitTimeout {
        entry: usize,
        /// The number of the request in the queue of its entry.
        number: u64,
    },
}
