use std::rc::Rc;

use hyper::Response;
use tokio::task::spawn_local;

use crate::node::NodeState;
use crate::telemetry::RequestLog;

use super::answer_head::AnswerHead;
use super::caller_body::CallerBody;
use super::caller_body::channel_body;
use super::caller_body::held_body;
use super::open_outcome::OpenOutcome;
use super::refusal::refuse;
use super::relay_request::RelayRequest;
use super::request_handler::retry_after_ms;
use super::stream_relay::StreamRelay;

/// Runs a model request on a chain of engines, and forwards its events as they arrive or its whole answer.
pub(super) async fn drive_stream(
    state: Rc<NodeState>,
    relay: RelayRequest,
    mut log: RequestLog,
) -> Response<CallerBody> {
    let mut stream = StreamRelay::new(Rc::clone(&state), relay);
    match stream.open(&mut log).await {
        OpenOutcome::Streaming(parts) => {
            let (caller, body) = channel_body();
            let response = AnswerHead::of_stream(&*state.format, &parts).into_response(body);
            spawn_local(async move {
                tokio::select! {
                    () = stream.run(&caller, &mut log) => {}
                    // The caller has disconnected. Dropping the stream closes the connection to the
                    // engines, which then stop the run.
                    () = caller.closed() => {}
                }
            });
            response
        }
        OpenOutcome::Answered(parts, body, held) => {
            log.set_outcome("served");
            AnswerHead::of_whole(&*state.format, &parts).into_response(held_body(body, held))
        }
        OpenOutcome::ErrorResponse(parts, body, held) => {
            log.set_outcome("failed");
            AnswerHead::of_whole(&*state.format, &parts).into_response(held_body(body, held))
        }
        OpenOutcome::Refused(kind, retry_ms) => {
            let id = stream.request_id().to_owned();
            log.set_outcome(kind.as_str());
            let retry_ms = retry_ms.or(retry_after_ms(kind));
            log.set_retry_after(retry_ms);
            refuse(&state, &id, kind, retry_ms)
        }
    }
}
