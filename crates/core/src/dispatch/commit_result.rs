/// The known result of a commit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CommitResult {
    /// The commit took effect.
    Committed,
    /// A check failed and nothing was written.
    Conflict,
    /// No byte was sent.
    Unsent,
    /// The answer was lost; the commit may have taken effect or may still do so.
    Lost,
}
