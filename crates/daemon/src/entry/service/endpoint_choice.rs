//! The choice of an endpoint for a call.

use dandelionroad_core::config::ServiceSpec;
use dandelionroad_core::member::MemberRole;
use rand::seq::IteratorRandom;

use crate::node::NodeContext;

/// Returns name and internal address of a live endpoint of the service that is not in `tried`.
pub(super) fn choose_endpoint(
    context: &NodeContext,
    service: &ServiceSpec,
    tried: &[String],
) -> Option<(String, String)> {
    let members = context.members.borrow().clone();
    let serves = |name: &str| service.endpoints.iter().any(|known| known.as_str() == name);
    let candidates = members
        .live(MemberRole::Endpoint)
        .filter(|member| serves(&member.name) && !tried.contains(&member.name));
    let chosen = candidates.choose(&mut rand::rng())?;
    Some((chosen.name.clone(), chosen.address.clone()))
}
