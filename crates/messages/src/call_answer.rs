use dandelionroad_core::dispatch::CallReply;
use dandelionroad_core::route::LoadReport;
use serde::Deserialize;
use serde::Serialize;

/// A call's reply with the state of the endpoint that sent it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallAnswer {
    /// The reply.
    pub reply: CallReply,
    /// The load of the endpoint.
    pub load: LoadReport,
    /// The configuration revision that the endpoint's process holds.
    pub revision: u64,
}
