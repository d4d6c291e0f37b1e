//! Counts possible crashes of requests.

use dandelionroad_core::stream::StreamOrder;

/// Counts a possible crash of the request and returns whether it may be retried.
pub(super) async fn count_crash(order: &StreamOrder) -> bool {
    spdlog::warn!(
        "entry: a request may have crashed an endpoint",
        kv: { request = order.request.as_str() }
    );
    true
}
