use dandelionroad_core::ident::EndpointName;
use dandelionroad_core::ident::RequestIdent;

/// The work of a request of this entry at the endpoints of its route.
#[derive(Clone, Debug)]
pub(super) struct RequestWork {
    pub(super) request: RequestIdent,
    pub(super) units: u64,
    pub(super) endpoints: Vec<EndpointName>,
}
