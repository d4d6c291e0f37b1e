//! The choice of a route and of the model version that it serves.

use dandelionroad_core::ident::EndpointName;
use dandelionroad_core::stream::ChainRoute;
use dandelionroad_core::stream::StreamOrder;

use crate::node::NodeContext;

/// Returns the version of the model that a request without a route is to run with.
pub(super) fn choose_version(context: &NodeContext, order: &StreamOrder) -> u32 {
    let config = context.config.borrow().clone();
    let members = context.members.borrow().clone();
    context.routing.choose_version(&config, &members, order)
}

/// Chooses a route for a request without the `excluded` endpoints (sorted).
///
/// With `kept`, a route and the position of its failed stage, the other stages stay as they are if
/// the layers of the failed one can be covered. Returns `None` if no route covers the layers.
pub(super) fn choose_route(
    context: &NodeContext,
    order: &StreamOrder,
    excluded: &[EndpointName],
    kept: Option<(&ChainRoute, usize)>,
) -> Option<ChainRoute> {
    let config = context.config.borrow().clone();
    let members = context.members.borrow().clone();
    let now = context.clock.now();
    let routing = &context.routing;
    routing.choose_route(&config, &members, order, excluded, kept, now)
}
