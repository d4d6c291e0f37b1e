use super::LeaseRow;

/// The next action of a process that holds or wants a lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseStep {
    /// Write the row, on condition that it still has the version that was read.
    Write(LeaseRow),
    /// Wait before reading the row again.
    Wait,
}
