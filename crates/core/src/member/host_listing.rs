use super::MemberRecord;

/// One entry of the platform's host list, which lags behind gossip.
///
/// The record has incarnation 0, so that any record sent by the process itself supersedes it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostListing {
    /// The listed name, role, host, availability zone and address of the process.
    pub record: MemberRecord,
    /// Whether the host is listed as leaving.
    pub leaving: bool,
}
