//! Responses to model requests: one JSON body, or a stream of server-sent events, one for each
//! token.

use std::convert::Infallible;

use axum::Json;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::response::sse::Event;
use axum::response::sse::Sse;
use dandelionroad_core::ident::RequestIdent;
use dandelionroad_core::outcome::RefusalReason;
use dandelionroad_core::outcome::RequestOutcome;
use dandelionroad_core::stream::StreamFailure;
use futures_util::Stream;
use futures_util::stream;
use tokio::sync::mpsc::UnboundedReceiver;

use super::super::caller_error::CallerError;
use super::answer_body::AnswerBody;
use super::answer_event::AnswerEvent;
use super::completion_request::CompletionRequest;

/// The data of the last event of a complete answer.
const DONE: &str = "[DONE]";

/// Waits for the complete answer and returns it as one JSON body.
pub(super) async fn buffered_answer(
    ident: &RequestIdent,
    request: &CompletionRequest,
    mut events: UnboundedReceiver<AnswerEvent>,
) -> Result<Response, CallerError> {
    let body = AnswerBody::new(ident, request);
    let mut answer = String::new();
    while let Some(event) = events.recv().await {
        match event {
            AnswerEvent::Token(text) => answer.push_str(&text),
            AnswerEvent::Finish { reason, tokens } => {
                return Ok(Json(body.completion(&answer, reason, tokens)).into_response());
            }
            AnswerEvent::Fail(failure) => return Err(caller_error(ident, &failure)),
        }
    }
    Err(lost_task_error(ident))
}

/// Streams the answer token by token.
///
/// A failure before the first token gives an error response with its own HTTP status; a later one
/// is sent as an error event.
pub(super) async fn streamed_answer(
    ident: &RequestIdent,
    request: &CompletionRequest,
    mut events: UnboundedReceiver<AnswerEvent>,
) -> Result<Response, CallerError> {
    let first = match events.recv().await {
        Some(AnswerEvent::Fail(failure)) => return Err(caller_error(ident, &failure)),
        Some(first) => first,
        None => return Err(lost_task_error(ident)),
    };
    let state = StreamState {
        ident: ident.clone(),
        body: AnswerBody::new(ident, request),
        has_usage: request.has_usage,
        is_first: true,
        is_finished: false,
        next: Some(first),
        events,
        pending: Vec::new(),
    };
    Ok(Sse::new(event_stream(state)).into_response())
}

struct StreamState {
    ident: RequestIdent,
    body: AnswerBody,
    has_usage: bool,
    is_first: bool,
    is_finished: bool,
    next: Option<AnswerEvent>,
    events: UnboundedReceiver<AnswerEvent>,
    /// Events to send before the next answer event is received, in reverse order.
    pending: Vec<Event>,
}

fn event_stream(state: StreamState) -> impl Stream<Item = Result<Event, Infallible>> {
    stream::unfold(state, async |mut state| {
        let event = next_event(&mut state).await?;
        Some((Ok(event), state))
    })
}

async fn next_event(state: &mut StreamState) -> Option<Event> {
    if let Some(event) = state.pending.pop() {
        return Some(event);
    }
    if state.is_finished {
        return None;
    }
    let next = match state.next.take() {
        Some(next) => Some(next),
        None => state.events.recv().await,
    };
    match next {
        Some(AnswerEvent::Token(text)) => {
            let chunk = state.body.token_chunk(&text, state.is_first);
            state.is_first = false;
            Some(Event::default().data(chunk.to_string()))
        }
        Some(AnswerEvent::Finish { reason, tokens }) => {
            state.is_finished = true;
            state.pending.push(Event::default().data(DONE));
            if state.has_usage {
                let usage = state.body.usage_chunk(tokens).to_string();
                state.pending.push(Event::default().data(usage));
            }
            Some(Event::default().data(state.body.finish_chunk(reason).to_string()))
        }
        Some(AnswerEvent::Fail(failure)) => {
            state.is_finished = true;
            Some(error_event(&caller_error(&state.ident, &failure)))
        }
        None => {
            state.is_finished = true;
            Some(error_event(&lost_task_error(&state.ident)))
        }
    }
}

fn error_event(error: &CallerError) -> Event {
    Event::default()
        .event("error")
        .data(error.body().to_string())
}

fn caller_error(ident: &RequestIdent, failure: &StreamFailure) -> CallerError {
    let detail = match failure.outcome {
        RequestOutcome::NotRun => "the request was not run",
        RequestOutcome::Unknown => "the answer was interrupted",
        RequestOutcome::Failed => "the request failed",
    };
    CallerError {
        request: ident.clone(),
        outcome: failure.outcome,
        reason: failure.reason,
        detail: detail.to_owned(),
        retry_after_ms: failure.retry_after_ms,
    }
}

/// Returns the error for a request whose task ended without a result.
fn lost_task_error(ident: &RequestIdent) -> CallerError {
    let failure = StreamFailure {
        outcome: RequestOutcome::Unknown,
        reason: RefusalReason::EndpointLost,
        retry_after_ms: 0,
    };
    caller_error(ident, &failure)
}
