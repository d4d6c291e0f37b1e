/// What an engine lacks for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RoomShortage {
    /// Free KV memory.
    Memory {
        /// The missing memory, in tokens times layers.
        missing_units: f64,
    },
    /// It has turned away requests of this size lately.
    Refused,
    /// Its free KV memory is assigned to other processes.
    Share,
    /// Too many prompts wait there for prefill.
    Prefill {
        /// The time until the queue of prompts is short enough, in milliseconds.
        excess_ms: f64,
    },
}

impl RoomShortage {
    /// Returns the text for logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            RoomShortage::Memory { .. } => "layer at full engines: no free memory",
            RoomShortage::Refused => "layer at full engines: refused lately",
            RoomShortage::Share => "layer at full engines: free memory assigned to others",
            RoomShortage::Prefill { .. } => "layer at full engines: prompts wait",
        }
    }

    /// Returns the order in which engines are named that lack room: the one nearest to having room is the last.
    pub(super) const fn nearness(self) -> u8 {
        match self {
            RoomShortage::Memory { .. } => 0,
            RoomShortage::Refused => 1,
            RoomShortage::Share => 2,
            RoomShortage::Prefill { .. } => 3,
        }
    }
}
