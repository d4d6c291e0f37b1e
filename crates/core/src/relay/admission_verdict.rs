use crate::time::MilliTime;

/// What happens to a request for which no engine has room at present.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionVerdict {
    /// It waits for room, until this time at most.
    Wait(MilliTime),
    /// It is refused at once, as it would wait for longer than it can.
    Refuse,
}
