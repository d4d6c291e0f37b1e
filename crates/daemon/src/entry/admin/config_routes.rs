//! The routes that return the configuration in force at this entry, as a whole or by object.

use std::sync::Arc;

use axum::Json;
use axum::Router;
use axum::extract::Path;
use axum::extract::State;
use axum::routing::get;
use dandelionroad_core::config::ConfigObject;
use dandelionroad_core::config::ConfigState;
use dandelionroad_core::config::ObjectChange;
use dandelionroad_core::config::ObjectKind;
use serde::Serialize;

use crate::node::NodeContext;

use super::admin_error::AdminError;

#[derive(Serialize)]
struct RevisionAnswer {
    revision: u64,
}

/// Returns the routes of this module.
pub(super) fn routes() -> Router<Arc<NodeContext>> {
    Router::new()
        .route("/admin/v1/config", get(show_config))
        .route("/admin/v1/config/{kind}/{name}", get(show_object))
        .route("/admin/v1/revision", get(show_revision))
}

async fn show_config(State(context): State<Arc<NodeContext>>) -> Json<ConfigState> {
    let config = context.config.borrow().clone();
    Json(ConfigState::clone(&config))
}

async fn show_revision(State(context): State<Arc<NodeContext>>) -> Json<RevisionAnswer> {
    let revision = context.config.borrow().revision;
    Json(RevisionAnswer { revision })
}

async fn show_object(
    State(context): State<Arc<NodeContext>>,
    Path((kind, name)): Path<(String, String)>,
) -> Result<Json<ObjectChange>, AdminError> {
    let kind = parse_kind(&kind)?;
    let config = context.config.borrow().clone();
    let mark = config.mark(kind, &name);
    let object: Option<ConfigObject> = config.object(kind, &name);
    match (mark, object) {
        (Some(mark), Some(object)) => Ok(Json(ObjectChange {
            mark: mark.clone(),
            object: Some(object),
        })),
        _ => Err(AdminError::not_found(format!(
            "there is no {} {name}; list the names with GET /admin/v1/config",
            kind.as_str()
        ))),
    }
}

fn parse_kind(text: &str) -> Result<ObjectKind, AdminError> {
    let found = ObjectKind::ALL
        .into_iter()
        .find(|kind| kind.as_str() == text);
    found.ok_or_else(|| {
        AdminError::bad_request(format!(
            "unknown kind {text}; use account, model, pool or service"
        ))
    })
}
