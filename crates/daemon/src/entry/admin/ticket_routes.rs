//! The routes that apply change tickets and list the accepted ones.

use std::sync::Arc;

use axum::Json;
use axum::Router;
use axum::body::Bytes;
use axum::extract::DefaultBodyLimit;
use axum::extract::Query;
use axum::extract::State;
use axum::extract::rejection::BytesRejection;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use dandelionroad_core::config::ChangeTicket;
use dandelionroad_core::config::LogRecord;
use dandelionroad_core::config::TicketVerdict;
use dandelionroad_core::config::row_keys::LOG_PREFIX;
use dandelionroad_core::config::row_keys::log_key;
use dandelionroad_core::outcome::RequestOutcome;
use serde::Deserialize;
use serde::Serialize;

use crate::entry::caller_error::OUTCOME_HEADER;
use crate::node::NodeContext;

use super::admin_error::AdminError;
use super::ticket_runner;

/// The maximum size of a ticket in bytes.
const MAX_TICKET_BYTES: usize = 1024 * 1024;

/// The maximum number of tickets in one response.
const MAX_LISTED_TICKETS: u32 = 256;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct HistoryQuery {
    #[serde(default)]
    after: u64,
    #[serde(default = "default_limit")]
    limit: u32,
}

#[derive(Serialize)]
struct HistoryAnswer {
    tickets: Vec<LogRecord>,
}

fn default_limit() -> u32 {
    MAX_LISTED_TICKETS
}

/// Returns the routes of this module.
pub(super) fn routes() -> Router<Arc<NodeContext>> {
    Router::new()
        .route("/admin/v1/tickets", get(list_tickets).post(apply_ticket))
        .layer(DefaultBodyLimit::max(MAX_TICKET_BYTES))
}

async fn apply_ticket(
    State(context): State<Arc<NodeContext>>,
    body: Result<Bytes, BytesRejection>,
) -> Response {
    let body = match body {
        Ok(body) => body,
        Err(error) => return AdminError::bad_request(error.body_text()).into_response(),
    };
    let verdict = match ChangeTicket::parse(&body) {
        Ok(ticket) => ticket_runner::run(&context, ticket).await,
        Err(faults) => TicketVerdict::Invalid { faults },
    };
    let status = status_of(&verdict);
    let mut response = (status, Json(&verdict)).into_response();
    if let Some(outcome) = outcome_of(&verdict) {
        let header = outcome.as_str().parse().expect("outcomes are ASCII");
        response.headers_mut().insert(OUTCOME_HEADER, header);
    }
    response
}

async fn list_tickets(
    State(context): State<Arc<NodeContext>>,
    Query(query): Query<HistoryQuery>,
) -> Result<Json<HistoryAnswer>, AdminError> {
    let limit = query.limit.clamp(1, MAX_LISTED_TICKETS);
    let after = log_key(query.after);
    let table = context.clients.table.as_ref();
    let rows = table.scan(LOG_PREFIX, &after, limit).await?;
    let records = rows
        .iter()
        .filter_map(|row| serde_json::from_str(&row.value).ok());
    Ok(Json(HistoryAnswer {
        tickets: records.collect(),
    }))
}

const fn status_of(verdict: &TicketVerdict) -> StatusCode {
    match verdict {
        TicketVerdict::Accepted { .. } | TicketVerdict::Repeated { .. } => StatusCode::OK,
        TicketVerdict::Superseded { .. } | TicketVerdict::Conflict { .. } => StatusCode::CONFLICT,
        TicketVerdict::Invalid { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        TicketVerdict::Busy | TicketVerdict::StoreDown => StatusCode::SERVICE_UNAVAILABLE,
        TicketVerdict::Unknown => StatusCode::GATEWAY_TIMEOUT,
    }
}

const fn outcome_of(verdict: &TicketVerdict) -> Option<RequestOutcome> {
    match verdict {
        TicketVerdict::Accepted { .. } | TicketVerdict::Repeated { .. } => None,
        TicketVerdict::Unknown => Some(RequestOutcome::Unknown),
        _ => Some(RequestOutcome::NotRun),
    }
}
