//! The configuration and the list of engines that a process serves to the others over HTTP.

use bytes::Bytes;
use dandelionroad_core::relay::StoreVersion;

use crate::node::NodeState;

use super::ListingAnswer;

/// The path of the rows of the configuration.
pub(crate) const CONFIG_PATH: &str = "/shared/config";

/// The path of the changes of the list of engines; the query is the version since which they are asked
/// for, as ERA.VERSION.
const LISTING_PATH: &str = "/shared/engines";

/// Returns the path and query of the changes of the list of engines since `version`.
pub(crate) fn listing_path(version: StoreVersion) -> String {
    format!("{LISTING_PATH}?{version}")
}

/// Returns the response to another process, or `None` if nothing is served at the path.
pub(crate) fn shared_body(state: &NodeState, path: &str, query: Option<&str>) -> Option<Bytes> {
    let encoded = match path {
        CONFIG_PATH => postcard::to_stdvec(&*state.config_rows.borrow()),
        LISTING_PATH => {
            let now = state.clock.now();
            let view = state.view.borrow();
            if !view.has_listing {
                return None;
            }
            let version = query.and_then(|text| text.parse().ok()).unwrap_or_default();
            postcard::to_stdvec(&ListingAnswer {
                age_ms: now.since(view.listing_time),
                is_whole: view.engines.is_whole(view.listing_time),
                grace_ms: view.engines.grace_left_ms(now),
                delta: view.listing.changes_since(version),
            })
        }
        _ => return None,
    };
    let encoded = encoded.inspect_err(|error| spdlog::warn!("peers: can't encode {path}: {error}"));
    encoded.ok().map(Bytes::from)
}
