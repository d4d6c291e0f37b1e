//! The routes that list the members with their configuration revisions, return the throughput
//! bounds of the models, and wait until a revision is in force at all members.

use std::sync::Arc;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::extract::Query;
use axum::extract::State;
use axum::routing::get;
use dandelionroad_core::member::MemberRecord;
use dandelionroad_core::member::MemberState;
use futures_util::StreamExt;
use futures_util::stream;
use serde::Deserialize;
use serde::Serialize;

use crate::control::peer_calls;
use crate::entry::routing::ModelBound;
use crate::entry::routing::model_bounds;
use crate::node::NodeContext;

use super::admin_error::AdminError;

/// The time within which a member must answer a query for its revision, in milliseconds.
const MEMBER_QUERY_TIMEOUT_MS: u64 = 800;

/// The maximum number of members that are queried concurrently.
const MAX_CONCURRENT_QUERIES: usize = 64;

/// The interval at which lagging members are queried again, in milliseconds.
const WAIT_POLL_INTERVAL_MS: u64 = 100;

/// The maximum wait for a revision, in milliseconds.
const MAX_WAIT_MS: u64 = 60_000;

/// The maximum wait for a revision if the request sets no timeout, in milliseconds.
const DEFAULT_WAIT_MS: u64 = 10_000;

/// A member with the configuration revision in force there.
#[derive(Serialize)]
struct MemberView {
    #[serde(flatten)]
    record: MemberRecord,
    /// `None` if the member is gone or did not answer in time.
    revision: Option<u64>,
}

#[derive(Serialize)]
struct MembersAnswer {
    revision: u64,
    members: Vec<MemberView>,
}

#[derive(Serialize)]
struct BoundAnswer {
    revision: u64,
    models: Vec<ModelBound>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct WaitQuery {
    revision: u64,
    #[serde(default = "default_wait")]
    timeout_ms: u64,
}

/// The result of a wait: whether the revision is in force at every member that is not gone.
#[derive(Serialize)]
struct WaitAnswer {
    revision: u64,
    in_force: bool,
    members: usize,
    lagging: Vec<MemberView>,
}

fn default_wait() -> u64 {
    DEFAULT_WAIT_MS
}

/// Returns the routes of this module.
pub(super) fn routes() -> Router<Arc<NodeContext>> {
    Router::new()
        .route("/admin/v1/bound", get(show_bound))
        .route("/admin/v1/members", get(list_members))
        .route("/admin/v1/wait", get(wait_for_revision))
}

async fn show_bound(State(context): State<Arc<NodeContext>>) -> Json<BoundAnswer> {
    let config = context.config.borrow().clone();
    let members = context.members.borrow().clone();
    let models = model_bounds(&config, &members);
    let revision = config.revision;
    Json(BoundAnswer { revision, models })
}

async fn list_members(State(context): State<Arc<NodeContext>>) -> Json<MembersAnswer> {
    let members = context.members.borrow().clone();
    let records = members.records().cloned().collect();
    let revision = context.config.borrow().revision;
    let members = query_members(&context, records).await;
    Json(MembersAnswer { revision, members })
}

async fn wait_for_revision(
    State(context): State<Arc<NodeContext>>,
    Query(query): Query<WaitQuery>,
) -> Result<Json<WaitAnswer>, AdminError> {
    if query.timeout_ms > MAX_WAIT_MS {
        return Err(AdminError::bad_request(format!(
            "timeout_ms is {}; use at most {MAX_WAIT_MS}",
            query.timeout_ms
        )));
    }
    let deadline = context.clock.now().plus(query.timeout_ms);
    let mut confirmed: Vec<String> = Vec::new();
    loop {
        // Read anew each time, since members that join during the wait must hold the revision too.
        let present = present_members(&context);
        let members = present.len();
        let is_pending = |record: &MemberRecord| confirmed.binary_search(&record.name).is_err();
        let pending = present.into_iter().filter(is_pending).collect();
        let views = query_members(&context, pending).await;
        let mut lagging = Vec::new();
        for view in views {
            if view.revision >= Some(query.revision) {
                confirmed.push(view.record.name);
            } else {
                lagging.push(view);
            }
        }
        confirmed.sort();
        if lagging.is_empty() || context.clock.now() >= deadline {
            return Ok(Json(WaitAnswer {
                revision: query.revision,
                in_force: lagging.is_empty(),
                members,
                lagging,
            }));
        }
        tokio::time::sleep(Duration::from_millis(WAIT_POLL_INTERVAL_MS)).await;
    }
}

fn present_members(context: &NodeContext) -> Vec<MemberRecord> {
    let members = context.members.borrow().clone();
    let present = members
        .records()
        .filter(|record| record.state != MemberState::Gone);
    present.cloned().collect()
}

/// Queries the members for their revisions and returns them in the order of the records.
///
/// Members that are gone are not queried.
async fn query_members(context: &NodeContext, records: Vec<MemberRecord>) -> Vec<MemberView> {
    let views = stream::iter(records).map(|record| query_member(context, record));
    views.buffered(MAX_CONCURRENT_QUERIES).collect().await
}

async fn query_member(context: &NodeContext, record: MemberRecord) -> MemberView {
    if record.name == context.settings.name {
        let revision = Some(context.config.borrow().revision);
        return MemberView { record, revision };
    }
    if record.state == MemberState::Gone {
        let revision = None;
        return MemberView { record, revision };
    }
    let reply = peer_calls::probe_address(context, &record.address, MEMBER_QUERY_TIMEOUT_MS).await;
    let reply = reply.filter(|reply| reply.name == record.name);
    let revision = reply.map(|reply| reply.revision);
    MemberView { record, revision }
}
