use crate::ident::ZoneName;

/// The capacity of the link from one availability zone to another.
///
/// A pair of zones without a link in the graph counts as unlimited.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FlowLink {
    /// The availability zone that sends.
    pub from: ZoneName,
    /// The availability zone that receives.
    pub to: ZoneName,
    /// The capacity in tokens per second.
    pub tokens_per_second: u64,
}
