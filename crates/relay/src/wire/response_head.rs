/// What the head of an engine's answer says beside its status.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ResponseHead {
    /// The identifier of the request that is answered.
    pub request: Option<String>,
    /// Whether the engine states that it did not run the request and never will.
    pub is_not_run: bool,
    /// Whether the answer carries the engine's signature.
    pub is_signed: bool,
    /// The address of the engine because of which a chain could not be run.
    pub fault_address: Option<String>,
}
