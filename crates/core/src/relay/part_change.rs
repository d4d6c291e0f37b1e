use super::PromptPart;

/// A change of what a process believes about a prompt part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PartChange {
    /// An engine was lost while it began to answer a request with the part.
    Suspected {
        /// The part.
        part: PromptPart,
        /// The number of engines that were lost in this way since the part was last served.
        engines: usize,
    },
    /// Requests with the part are refused from now on.
    Refused {
        /// The part.
        part: PromptPart,
        /// The number of engines that were lost in this way since the part was last served.
        engines: usize,
    },
    /// A part that was suspected or refused is admitted: it was served, or the lost engines count for
    /// another part.
    Cleared {
        /// The part.
        part: PromptPart,
    },
}
