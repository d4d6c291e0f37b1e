/// An engine's response to a placement order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderAnswer {
    /// The engine has started to carry out the order.
    Begun,
    /// The engine already holds the ordered layers.
    Done,
    /// The precondition of the order does not hold.
    Conflict,
    /// The engine rejects the order permanently.
    Refused,
}
