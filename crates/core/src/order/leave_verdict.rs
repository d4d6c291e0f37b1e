/// The decision on whether an endpoint may leave the ready endpoints of its pool.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaveVerdict {
    /// The endpoint may unload.
    Granted,
    /// Too few endpoints would remain ready; retry later.
    Denied,
}
