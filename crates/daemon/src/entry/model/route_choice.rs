//! Route and model version selection with the current configuration and members.

use dandelionroad_core::ident::EndpointName;
use dandelionroad_core::stream::ChainRoute;
use dandelionroad_core::stream::StreamOrder;

use crate::node::NodeContext;

/// Returns the model version with which a request without a route is to run.
pub(super) fn choose_version(context: &NodeContext, order: &StreamOrder) -> u32 {
    let config = context.config.borrow().clone();
    let members = context.members.borrow().clone();
    context.routing.choose_version(&config, &members, order)
}

/// Chooses a route for a request that does not use the `excluded` endpoints, which are sorted.
///
/// `repair` is a route with the index of its failed stage: the other stages are kept if other
/// endpoints can cover the layers of the failed one. Returns `None` if no route covers all layers.
pub(super) fn choose_route(
    context: &NodeContext,
    order: &StreamOrder,
    excluded: &[EndpointName],
    repair: Option<(&ChainRoute, usize)>,
) -> Option<ChainRoute> {
    let config = context.config.borrow().clone();
    let members = context.members.borrow().clone();
    let now = context.clock.now();
    let routing = &context.routing;
    routing.choose_route(&config, &members, order, excluded, repair, now)
}
