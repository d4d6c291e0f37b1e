/// A kind of hop of a request; each has a span of its own.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HopKind {
    /// From the arrival at an entry to the last byte of the answer. The root of the trace.
    Entry,
    /// The stay of a model request at the process of one stage.
    Stage,
    /// One call to a model engine: one step, or one whole stream of tokens.
    EngineCall,
    /// One call to a plain service.
    ServiceCall,
}

impl HopKind {
    /// Returns the name of the span.
    pub const fn as_str(self) -> &'static str {
        match self {
            HopKind::Entry => "entry",
            HopKind::Stage => "stage",
            HopKind::EngineCall => "engine-call",
            HopKind::ServiceCall => "service-call",
        }
    }
}
