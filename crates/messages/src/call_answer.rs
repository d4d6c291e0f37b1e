use dandelionroad_core::dispatch::CallReply;
use dandelionroad_core::route::LoadReport;
use serde::Deserialize;
use serde::Serialize;

/// The answer to a call: the reply, with the current load and revision of the endpoint.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallAnswer {
    /// The result of the call, or the reason why it was not run.
    pub reply: CallReply,
    /// The load of the endpoint when it answers, for the entry's choice of endpoints.
    pub load: LoadReport,
    /// The configuration revision of the endpoint.
    pub revision: u64,
}
