/// How an incarnation of an engine ended, as far as the list of engines showed it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum IncarnationEnd {
    /// The list showed that it leaves.
    Leaving,
    /// It was removed from the list, or replaced there by a later incarnation.
    Removed,
}
