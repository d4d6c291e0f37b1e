use crate::ident::ZoneName;

/// The capacity of the network link from one availability zone to another.
///
/// A pair of zones without a link in the graph has unlimited capacity.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FlowLink {
    /// The sending availability zone.
    pub from: ZoneName,
    /// The receiving availability zone.
    pub to: ZoneName,
    /// The capacity in tokens per second.
    pub tokens_per_second: u64,
}
