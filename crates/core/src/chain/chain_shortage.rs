/// Why the engines of an availability zone form no chain for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChainShortage {
    /// No listed engine of the zone holds this layer.
    NotHeld(u16),
    /// Each engine of the zone that holds this layer failed lately, or failed this request.
    Avoided(u16),
    /// Each engine of the zone that holds this layer lacks memory for the request.
    Full(u16),
    /// Layers and memory would do, but no engine takes another request as the first of a chain.
    NoFreeSlot,
}

impl ChainShortage {
    /// Returns the shortage as it appears in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            ChainShortage::NotHeld(_) => "layer not held",
            ChainShortage::Avoided(_) => "layer at failed engines",
            ChainShortage::Full(_) => "layer at full engines",
            ChainShortage::NoFreeSlot => "no engine to start at",
        }
    }

    /// Returns the layer that is short.
    pub const fn layer(self) -> u16 {
        match self {
            ChainShortage::NotHeld(layer)
            | ChainShortage::Avoided(layer)
            | ChainShortage::Full(layer) => layer,
            ChainShortage::NoFreeSlot => 0,
        }
    }
}
