use super::MemberRecord;

/// One line of the platform's host list, which lags behind what gossip knows.
///
/// The record has incarnation 0, so that anything that the process says of itself replaces it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostListing {
    /// Name, role, place and address as the list has them.
    pub record: MemberRecord,
    /// Whether the list says that the host is leaving.
    pub leaving: bool,
}
