use super::PromptPart;

/// The shared parts of a request whose answer has not outlasted its start.
#[derive(Clone, Debug)]
struct PartTrial {
    number: u64,
    parts: Vec<PromptPart>,
}

/// The requests with unproven prompt parts that are about to show whether their parts crash engines.
///
/// While a part is suspected, requests with it run one after the other until one of them has been served or the
/// part is refused. If they ran beside each other, each of them could crash an engine.
///
/// # Example
///
/// ```
/// use dandelionroad_core::relay::PartTrials;
/// use dandelionroad_core::relay::PromptPart;
///
/// let [sound, fatal] = ["a", "b"].map(|id| PromptPart::new("knots", id));
/// let mut trials = PartTrials::new();
/// let first = trials.begin(&[sound, fatal]);
/// assert!(trials.is_tried(&[fatal]));
/// trials.end(first);
/// assert!(!trials.is_tried(&[fatal]));
/// ```
#[derive(Clone, Debug, Default)]
pub struct PartTrials {
    /// In the order in which they began.
    trials: Vec<PartTrial>,
    next_number: u64,
}

impl PartTrials {
    /// Creates the record of a process without requests.
    pub fn new() -> PartTrials {
        PartTrials::default()
    }

    /// Records that a request with these parts is sent to an engine; returns the number of its trial.
    pub fn begin(&mut self, parts: &[PromptPart]) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        self.trials.push(PartTrial {
            number,
            parts: parts.to_vec(),
        });
        number
    }

    /// Records that a request has outlasted its start or has no run any more.
    pub fn end(&mut self, number: u64) {
        self.trials.retain(|trial| trial.number != number);
    }

    /// Returns whether a request with one of the parts is on trial.
    pub fn is_tried(&self, parts: &[PromptPart]) -> bool {
        let mut trials = self.trials.iter();
        trials.any(|trial| trial.parts.iter().any(|part| parts.contains(part)))
    }
}
