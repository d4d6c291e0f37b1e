//! Stand-ins of the platform, the engines and the clients for the cases of this review.

pub mod endpoint;
pub mod http;
pub mod json;
pub mod model_engine;
pub mod record;
pub mod server;
pub mod site;
pub mod store;

/// Returns whether the disruption of the case is to take place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
