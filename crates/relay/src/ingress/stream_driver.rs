use std::rc::Rc;

use hyper::Response;
use tokio::task::spawn_local;

use crate::node::NodeState;
use crate::telemetry::RequestLog;

use super::caller_body::CallerBody;
use super::caller_body::caller_response;
use super::caller_body::full_body;
use super::caller_body::piece_body;
use super::refusal::refuse;
use super::relay_request::RelayRequest;
use super::request_handler::retry_after_ms;
use super::stream_opened::StreamOpened;
use super::stream_relay::StreamRelay;

/// Runs a model request on a chain of engines and passes its events on as they come.
pub(super) async fn drive_stream(
    state: Rc<NodeState>,
    relay: RelayRequest,
    mut log: RequestLog,
) -> Response<CallerBody> {
    let mut stream = StreamRelay::new(Rc::clone(&state), relay);
    match stream.open(&mut log).await {
        StreamOpened::Streaming(parts) => {
            let (sender, body) = piece_body();
            let response = caller_response(&state, &parts, body);
            spawn_local(async move {
                tokio::select! {
                    () = stream.run(&sender, &mut log) => {}
                    // Dropping the stream closes its connection, at which the engines stop.
                    () = sender.closed() => {}
                }
            });
            response
        }
        StreamOpened::Answered(parts, body) => {
            log.set_outcome("failed");
            caller_response(&state, &parts, full_body(body))
        }
        StreamOpened::Refused(kind, retry_ms) => {
            let id = stream.request_id().to_owned();
            log.set_outcome(kind.as_str());
            refuse(&state, &id, kind, retry_ms.or(retry_after_ms(kind)))
        }
    }
}
