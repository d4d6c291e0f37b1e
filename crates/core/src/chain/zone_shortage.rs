use super::ChainShortage;

/// The reason why an availability zone has no chain for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneShortage<'a> {
    /// The name of the availability zone.
    pub zone: &'a str,
    /// The reason, at the first layer that no engine can run.
    pub shortage: ChainShortage,
}
