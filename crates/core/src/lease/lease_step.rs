use super::LeaseRow;

/// What a process does next about a lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseStep {
    /// Writes the row, if it still has the version that was read.
    Write(LeaseRow),
    /// Waits before it reads the row again.
    Wait,
}
