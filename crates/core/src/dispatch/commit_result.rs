/// The result of a commit, as far as it is known.
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
