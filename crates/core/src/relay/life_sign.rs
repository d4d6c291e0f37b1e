/// What shows that an engine is alive.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LifeSign {
    /// It returned a report. It may still hang with its requests.
    Report,
    /// It took part in an answer.
    Answer,
    /// It took part in an answer that had stalled.
    StalledAnswer,
}
