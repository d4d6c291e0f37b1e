/// What may be done with a request according to its crash count.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashVerdict {
    /// The request was in no crash; run it as usual.
    Clear,
    /// The request was in one crash and its row was raised; run it as a suspect.
    Suspect,
    /// The request was in one crash; its row must be raised in the table service first.
    PersistFirst,
    /// The request was in two crashes; refuse it for good as `failed`.
    Refused,
    /// The same request runs as a suspect at this entry; wait for its end.
    Wait,
}
