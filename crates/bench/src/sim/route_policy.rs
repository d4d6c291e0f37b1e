use std::str::FromStr;

/// A policy by which entries choose routes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RoutePolicy {
    /// The policy of the daemon: paths of a maximum flow, and the less loaded endpoints on them.
    Flow,
    /// A random endpoint for each stage.
    Random,
    /// The next endpoint in round-robin order for each stage.
    RoundRobin,
    /// The endpoint with the fewest outstanding requests of this entry for each stage.
    LeastOutstanding,
    /// The fastest endpoint for each stage, which is the same chain for all requests.
    FastestChain,
}

impl RoutePolicy {
    /// All policies.
    pub const ALL: [RoutePolicy; 5] = [
        RoutePolicy::Flow,
        RoutePolicy::Random,
        RoutePolicy::RoundRobin,
        RoutePolicy::LeastOutstanding,
        RoutePolicy::FastestChain,
    ];

    /// Returns the name on the command line.
    pub const fn as_str(self) -> &'static str {
        match self {
            RoutePolicy::Flow => "flow",
            RoutePolicy::Random => "random",
            RoutePolicy::RoundRobin => "round-robin",
            RoutePolicy::LeastOutstanding => "least-outstanding",
            RoutePolicy::FastestChain => "fastest-chain",
        }
    }
}

impl FromStr for RoutePolicy {
    type Err = String;

    fn from_str(text: &str) -> Result<RoutePolicy, String> {
        let known = RoutePolicy::ALL.map(RoutePolicy::as_str);
        match known.iter().position(|name| *name == text) {
            Some(index) => Ok(RoutePolicy::ALL[index]),
            None => Err(format!(
                "unknown routing policy {text:?}; use one of {}",
                known.join(", ")
            )),
        }
    }
}
