//! Endpoint selection for calls to plain services.

use dandelionroad_core::config::ServiceSpec;
use dandelionroad_core::ident::EndpointName;
use dandelionroad_core::member::MemberRole;
use dandelionroad_core::member::MemberState;

use crate::node::NodeContext;

/// Returns the name and the internal address of a live endpoint of the service that is not in
/// `tried`.
///
/// It is the less loaded of two random candidates.
pub(super) fn choose_endpoint(
    context: &NodeContext,
    service: &ServiceSpec,
    tried: &[String],
) -> Option<(String, String)> {
    let members = context.members.borrow().clone();
    let is_usable = |name: &&EndpointName| {
        let record = members.get(name.as_str());
        record.is_some_and(|record| {
            record.role == MemberRole::Endpoint && record.state == MemberState::Live
        })
    };
    let candidates: Vec<EndpointName> = service
        .endpoints
        .iter()
        .filter(is_usable)
        .filter(|name| !tried.iter().any(|known| known == name.as_str()))
        .cloned()
        .collect();
    let index = context.call_loads.pick(&candidates, context.clock.now())?;
    let record = members.get(candidates[index].as_str())?;
    Some((record.name.clone(), record.address.clone()))
}
