use dandelionroad_core::relay::AttemptEnd;
use hyper::Response;
use hyper::body::Incoming;

use crate::node::NodeState;
use crate::wire::ResponseHead;

/// What the head of an answer means for the request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum EngineReply {
    /// The engine serves the request.
    Served,
    /// The engine did not run it; the address names the engine at fault, if another one.
    Rejected {
        /// The address of the engine at fault.
        fault_address: Option<String>,
    },
    /// The engine ran it and answers with an error.
    Failed,
    /// The answer belongs to another request or lacks the signature.
    Foreign,
}

impl EngineReply {
    /// Reads the head of an answer to the request `id`.
    pub(super) fn read(state: &NodeState, id: &str, response: &Response<Incoming>) -> EngineReply {
        let status = response.status();
        let answer: ResponseHead = state
            .format
            .decode_response_head(status.as_u16(), response.headers());
        if answer.is_not_run {
            let fault_address = answer.fault_address;
            return EngineReply::Rejected { fault_address };
        }
        if answer.request.as_deref() != Some(id) {
            return EngineReply::Foreign;
        }
        match (status.is_success(), answer.is_signed) {
            (true, true) => EngineReply::Served,
            (true, false) => EngineReply::Foreign,
            (false, _) => EngineReply::Failed,
        }
    }

    /// Returns how the attempt ended, for all but a served request.
    pub(super) fn end(&self) -> AttemptEnd {
        match self {
            EngineReply::Rejected { .. } => AttemptEnd::Rejected,
            EngineReply::Failed => AttemptEnd::Failed,
            EngineReply::Served | EngineReply::Foreign => AttemptEnd::Broken,
        }
    }
}
