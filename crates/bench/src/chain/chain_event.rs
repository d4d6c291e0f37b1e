/// What happens next in a simulation.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum ChainEvent {
    Arrival,
    PassEnd(usize),
    Hop {
        request: usize,
        part: usize,
        is_prompt: bool,
    },
    Report(usize),
    WaitEnd {
        entry: usize,
        number: u64,
    },
}
