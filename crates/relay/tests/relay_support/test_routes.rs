use dandelionroad_core::relay::RelayRoute;
use dandelionroad_core::relay::RepeatRule;
use dandelionroad_core::relay::ServiceShare;
use serde_json::Value;

use super::test_wire::MODEL_SERVICE;
use super::test_wire::PLAIN_SERVICE;
use super::test_wire::TARGET_MS;

/// The path prefix of the route on which the model answers in one piece, and may run a request once.
pub(crate) const LETTER_PREFIX: &str = "/letter/";

/// The path prefix of the route on which endpoints of the plain service answer with streams.
pub(crate) const FEED_PREFIX: &str = "/feed/";

/// Returns the routes of a configuration.
///
/// If the document has the field `urgent_target_ms`, the model service has two priorities: 0 below `/urgent/` and 1 on
/// its other routes, all of them with this target time to the first event.
pub(crate) fn test_routes(doc: &Value) -> Vec<RelayRoute> {
    let mut routes = vec![
        route("/model/", MODEL_SERVICE, RepeatRule::Resumable),
        route("/model-once/", MODEL_SERVICE, RepeatRule::AtMostOnce),
        RelayRoute {
            is_stream: false,
            ..route(LETTER_PREFIX, MODEL_SERVICE, RepeatRule::AtMostOnce)
        },
        RelayRoute {
            is_stream: true,
            ..route(FEED_PREFIX, PLAIN_SERVICE, RepeatRule::Resumable)
        },
        route("/once/", PLAIN_SERVICE, RepeatRule::AtMostOnce),
        route("/any/", PLAIN_SERVICE, RepeatRule::Idempotent),
    ];
    if let Some(target_ms) = doc["urgent_target_ms"].as_u64() {
        let urgent = route("/urgent/", MODEL_SERVICE, RepeatRule::Resumable);
        routes.push(RelayRoute {
            priority: 0,
            ..urgent
        });
        let streams = routes.iter_mut().filter(|route| route.is_stream);
        streams.for_each(|route| route.target_ms = target_ms);
    }
    routes
}

fn route(prefix: &str, service: &str, repeat: RepeatRule) -> RelayRoute {
    RelayRoute {
        host: "shop.example".to_owned(),
        prefix: prefix.to_owned(),
        is_stream: service == MODEL_SERVICE,
        repeat,
        timeout_ms: 8_000,
        target_ms: TARGET_MS,
        gap_target_ms: 100,
        priority: 1,
        max_attempts: 2,
        is_public: false,
        shares: vec![ServiceShare {
            service: service.to_owned(),
            weight: 1,
        }],
    }
}
