/// How a request may be handled, given the crashes of its earlier runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashVerdict {
    /// No crash; run the request normally.
    Clear,
    /// One crash, which the table service has stored; run the request as a suspect.
    Suspect,
    /// One crash, which must be stored in the table service before the request runs again.
    PersistFirst,
    /// Two crashes; refuse the request permanently with the outcome `failed`.
    Refused,
    /// The same request is running as a suspect at this entry; wait until that run ends.
    Wait,
}
