/// An engine's answer to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderAnswer {
    /// The order has begun.
    Begun,
    /// The engine already is as ordered.
    Done,
    /// The engine's state differs from what the order expects.
    Conflict,
    /// The engine refuses the order for good.
    Refused,
}
