use std::net::SocketAddr;

use dandelionroad_core::relay::ByteSource;
use hyper::Response;
use hyper::body::Incoming;
use hyper::http::response::Parts;

use crate::engine::SendError;
use crate::engine::read_whole;
use crate::memory::BodyPieces;
use crate::memory::HeldBytes;
use crate::node::NodeState;

use super::super::relay_request::RelayRequest;
use super::super::response_class::ResponseClass;

/// The outcome of an attempt once the head of a response has arrived, or all of one that is no stream.
pub(super) enum HeadOutcome {
    /// The chain serves the request with a stream, which begins.
    Served(Parts, Incoming),
    /// The chain has served the request, on a route whose answers are no streams.
    Answered(Parts, BodyPieces, HeldBytes),
    /// The chain has not run the request and never will.
    Rejected {
        /// The address of the engine that caused the rejection, if it is not the first one.
        fault_address: Option<String>,
        /// Whether the first engine has asked for a pause.
        is_paused: bool,
    },
    /// The chain ran the request and responded with an error.
    Failed(Parts, BodyPieces, HeldBytes),
    /// The response is not whole, or belongs to another request.
    Foreign,
    /// No connection could be opened.
    NotSent {
        /// Whether nothing listens at the address.
        is_refused: bool,
    },
    /// The connection broke before the head had arrived, or all of an answer that is no stream.
    Broken,
}

impl HeadOutcome {
    /// Reads the outcome of an attempt at the engine `engine` with an address.
    pub(super) async fn read(
        state: &NodeState,
        relay: &RelayRequest,
        engine: &str,
        address: SocketAddr,
        sent: Result<Response<Incoming>, SendError>,
    ) -> HeadOutcome {
        let response = match sent {
            Ok(response) => response,
            Err(SendError::NotSent { is_refused, .. }) => {
                return HeadOutcome::NotSent { is_refused };
            }
            Err(SendError::Broken { .. }) => return HeadOutcome::Broken,
        };
        let class = ResponseClass::classify(state, engine, &relay.caller.id, &response);
        let (parts, body) = response.into_parts();
        match class {
            ResponseClass::Served if relay.route().is_stream => HeadOutcome::Served(parts, body),
            ResponseClass::Served => {
                let held = state.memory.hold(ByteSource::Server(address));
                match read_whole(body, held).await {
                    Ok((body, held)) => {
                        held.reassign(relay.byte_source());
                        HeadOutcome::Answered(parts, body, held)
                    }
                    Err(_) => HeadOutcome::Broken,
                }
            }
            ResponseClass::Rejected {
                fault_address,
                is_paused,
            } => HeadOutcome::Rejected {
                fault_address,
                is_paused,
            },
            ResponseClass::Failed => {
                let held = state.memory.hold(ByteSource::Server(address));
                match read_whole(body, held).await {
                    Ok((body, held)) => {
                        held.reassign(relay.byte_source());
                        HeadOutcome::Failed(parts, body, held)
                    }
                    Err(_) => HeadOutcome::Foreign,
                }
            }
            ResponseClass::Foreign => HeadOutcome::Foreign,
        }
    }
}
