use dandelionroad_core::relay::AttemptEnd;
use hyper::Response;
use hyper::body::Incoming;

use crate::engine::AnswerOrigin;
use crate::engine::record_work_notice;
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
        /// Whether the responding engine has asked for a pause.
        is_paused: bool,
    },
    /// The engine ran the request and responds with an error.
    Failed,
    /// The response belongs to another request, is not a final one, or is a successful one without the signature.
    Foreign,
}

impl ResponseClass {
    /// Classifies the head of a response of an engine to the request `id`, and records what the engine says in it
    /// about new work.
    ///
    /// A refusal is trusted only if it is known to be of this request: a faulty engine may write an earlier one
    /// once more while it runs the request. One that names no request is of this one if it is the first response
    /// on its connection. A connection with a foreign response is not used again.
    pub(super) fn classify(
        state: &NodeState,
        engine: &str,
        id: &str,
        response: &Response<Incoming>,
    ) -> ResponseClass {
        let status = response.status();
        let head: ResponseHead = state
            .format
            .decode_response_head(status.as_u16(), response.headers());
        let origin = response.extensions().get::<AnswerOrigin>();
        let is_own = match head.request.as_deref() {
            Some(named) => named == id,
            None => head.is_not_run && origin.is_some_and(AnswerOrigin::is_first),
        };
        // The HTTP library passes on a 101 as if it were final; a request never asks for a switch of protocols.
        if !is_own || status.is_informational() {
            if let Some(origin) = origin {
                origin.discard_connection();
            }
            return ResponseClass::Foreign;
        }
        let is_paused = record_work_notice(state, engine, &head);
        if head.is_not_run {
            return ResponseClass::Rejected {
                fault_address: head.fault_address,
                is_paused,
            };
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
