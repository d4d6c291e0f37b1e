/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceShare {
    /// The name of the [`RelayService`](super::RelayService).
    pub service: String,
    /// The weight relative to the other services of the route.
    pub weight: u32,
}
