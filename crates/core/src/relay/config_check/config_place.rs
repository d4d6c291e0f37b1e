/// The part of a configuration to which a finding belongs; positions count from 0.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfigPlace {
    /// The configuration as a whole.
    Whole,
    /// The version.
    Version,
    /// The limits on callers' requests.
    Limits,
    /// The route at this position.
    Route(usize),
    /// A share of a route's requests.
    Share {
        /// The position of the route.
        route: usize,
        /// The position of the share in the route.
        share: usize,
    },
    /// The service with this name.
    Service(String),
    /// A kind of accelerators of a service.
    Kind {
        /// The name of the service.
        service: String,
        /// The name of the kind.
        kind: String,
    },
    /// The client account at this position.
    Account(usize),
}
