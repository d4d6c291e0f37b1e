/// How a request may be handled in view of the shared parts of its prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PartVerdict {
    /// No part is suspected.
    Clear,
    /// A part may have crashed an engine; a request that has run is sent again only after a pause in
    /// which reports of other processes arrive.
    Suspected,
    /// A part is refused, but this one request is admitted to find out whether it still crashes engines.
    Probe,
    /// A part crashes engines, so that the request must not run.
    Refused,
}
