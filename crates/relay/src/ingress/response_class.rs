use dandelionroad_core::relay::AttemptEnd;
use hyper::Response;
use hyper::body::Incoming;

use crate::node::NodeState;
use crate::wire::ResponseHead;

/// The class of an engine's response, as determined from its head.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum ResponseClass {
    /// The engine serves the request and has signed the response.
    Served,
    /// The engine has not run the request and never will.
    Rejected {
        /// The address of the engine that caused the rejection, if it is not the responding one.
        fault_address: Option<String>,
    },
    /// The engine ran the request and responds with an error.
    Failed,
    /// The response belongs to another request, or a successful one lacks the signature.
    Foreign,
}

impl ResponseClass {
    /// Classifies the head of a response to the request `id`.
    pub(super) fn classify(
        state: &NodeState,
        id: &str,
        response: &Response<Incoming>,
    ) -> ResponseClass {
        let status = response.status();
        let head: ResponseHead = state
            .format
            .decode_response_head(status.as_u16(), response.headers());
        if head.is_not_run {
            let fault_address = head.fault_address;
            return ResponseClass::Rejected { fault_address };
        }
        if head.request.as_deref() != Some(id) {
            return ResponseClass::Foreign;
        }
        match (status.is_success(), head.is_signed) {
            (true, true) => ResponseClass::Served,
            (true, false) => ResponseClass::Foreign,
            (false, _) => ResponseClass::Failed,
        }
    }

    /// Returns how an attempt with this response ended; not meaningful for [`ResponseClass::Served`].
    pub(super) fn attempt_end(&self) -> AttemptEnd {
        match self {
            ResponseClass::Rejected { .. } => AttemptEnd::Rejected,
            ResponseClass::Failed => AttemptEnd::Failed,
            ResponseClass::Served | ResponseClass::Foreign => AttemptEnd::Broken,
        }
    }
}
