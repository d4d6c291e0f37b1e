use dandelionroad_core::ident::EndpointName;
use dandelionroad_core::ident::RequestIdent;

/// The work units that a running request of this entry adds to each endpoint of its route.
#[derive(Clone, Debug)]
pub(super) struct RequestWork {
    pub(super) request: RequestIdent,
    pub(super) units: u64,
    pub(super) endpoints: Vec<EndpointName>,
}
