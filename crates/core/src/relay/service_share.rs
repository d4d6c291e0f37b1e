/// A service to which a route sends a share of its requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceShare {
    /// The name of the service.
    pub service: String,
    /// The weight of the service among those of the route.
    pub weight: u32,
}
