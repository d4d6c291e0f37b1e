use super::ChainShortage;

/// Why one availability zone has no chain for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ZoneShortage<'a> {
    /// The availability zone.
    pub zone: &'a str,
    /// What it lacks.
    pub shortage: ChainShortage,
}
