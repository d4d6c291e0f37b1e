/// The kind of a hop of a request, which names its span.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HopKind {
    /// The root span: from the arrival at an entry to the last byte of the answer.
    Entry,
    /// A model request at the endpoint of one stage, from its first message until its end there.
    Stage,
    /// One call to a model engine: a step, or a whole stream of tokens.
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
