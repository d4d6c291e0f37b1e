use super::RoomShortage;

/// Why the engines of an availability zone form no chain for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ChainShortage {
    /// No listed engine of the zone holds this layer.
    NotHeld(u16),
    /// Each engine of the zone that holds this layer failed recently, or has failed this request.
    Avoided(u16),
    /// No engine of the zone that holds this layer is usable, and one of them has asked for a pause.
    Paused(u16),
    /// Each usable engine of the zone that holds this layer lacks room for the request; what the engine
    /// lacks that is nearest to having room.
    Full(u16, RoomShortage),
    /// Each layer has an engine with memory, but no chain results, usually because no engine has a
    /// free slot for a request as the first engine of a chain.
    NoFreeSlot,
}

impl ChainShortage {
    /// Returns the text for logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            ChainShortage::NotHeld(_) => "layer not held",
            ChainShortage::Avoided(_) => "layer at failed engines",
            ChainShortage::Paused(_) => "layer at paused engines",
            ChainShortage::Full(_, room) => room.as_str(),
            ChainShortage::NoFreeSlot => "no engine to start at",
        }
    }

    /// Returns the first layer that no engine can run; 0 for [`ChainShortage::NoFreeSlot`].
    pub const fn layer(self) -> u16 {
        match self {
            ChainShortage::NotHeld(layer)
            | ChainShortage::Avoided(layer)
            | ChainShortage::Paused(layer)
            | ChainShortage::Full(layer, _) => layer,
            ChainShortage::NoFreeSlot => 0,
        }
    }
}
