use axum::http::HeaderMap;
use axum::http::Method;
use axum::http::Uri;
use axum::http::header::CONTENT_TYPE;
use dandelionroad_core::config::AccountSpec;
use dandelionroad_core::config::ConfigState;
use dandelionroad_core::config::ServiceSpec;
use dandelionroad_core::dispatch::CallOrder;
use dandelionroad_core::dispatch::RowKey;
use dandelionroad_core::dispatch::call_fingerprint;
use dandelionroad_core::ident::RequestIdent;
use dandelionroad_core::ident::ServiceName;
use dandelionroad_core::outcome::RefusalReason;
use dandelionroad_core::time::MilliTime;

use crate::entry::caller_error::CallerError;

/// The request header with the caller's key for a call that is not idempotent.
const KEY_HEADER: &str = "idempotency-key";

/// The maximum length of an idempotency key in characters.
const MAX_KEY_LENGTH: usize = 200;

/// A validated call of a client account to a plain service.
pub(super) struct CallRequest {
    pub(super) service: ServiceSpec,
    /// The order for an endpoint; its row is that of attempt 0, or `None` if the call is
    /// idempotent.
    pub(super) order: CallOrder,
    /// The time by which the caller is answered; a step in progress may end later.
    pub(super) deadline: MilliTime,
}

impl CallRequest {
    /// Validates a call.
    ///
    /// # Errors
    ///
    /// Returns the error response if the account has no access to the service, the key is missing
    /// or malformed, or the body is not UTF-8 text.
    pub(super) fn parse(
        config: &ConfigState,
        account: AccountSpec,
        ident: &RequestIdent,
        (method, uri, headers): (&Method, &Uri, &HeaderMap),
        body: &[u8],
        (now, deadline_in_ms): (MilliTime, u64),
    ) -> Result<CallRequest, CallerError> {
        let refusal = |reason, detail: &str| CallerError::not_run(ident, reason, detail);
        let (name, path) = split_target(uri);
        let service = granted_service(config, &account, name).ok_or_else(|| {
            refusal(
                RefusalReason::NotFound,
                "the client account has no access to a service of this name",
            )
        })?;
        let body = std::str::from_utf8(body)
            .map_err(|_| refusal(RefusalReason::BadRequest, "the body is not UTF-8 text"))?;
        let is_idempotent = service.idempotent || matches!(*method, Method::GET | Method::HEAD);
        let row = match is_idempotent {
            true => None,
            false => Some(RowKey {
                account: account.name.clone(),
                service: service.name.clone(),
                key: parse_key(headers, ident)?,
                attempt: 0,
            }),
        };
        let content_type = headers
            .get(CONTENT_TYPE)
            .and_then(|value| value.to_str().ok());
        let order = CallOrder {
            request: ident.clone(),
            account: account.name,
            weight: account.weight,
            priority: account.priority,
            service: service.name.clone(),
            method: method.as_str().to_owned(),
            fingerprint: call_fingerprint(method.as_str(), &path, body),
            path,
            content_type: content_type.unwrap_or_default().to_owned(),
            body: body.to_owned(),
            row,
            deadline_in_ms,
        };
        Ok(CallRequest {
            service: service.clone(),
            order,
            deadline: now.plus(deadline_in_ms),
        })
    }
}

fn granted_service<'a>(
    config: &'a ConfigState,
    account: &AccountSpec,
    name: &str,
) -> Option<&'a ServiceSpec> {
    let name = ServiceName::parse(name).ok()?;
    if !account.services.contains(&name) {
        return None;
    }
    config.service(&name)
}

/// Splits `/services/{service}/{path}?{query}` into the service and the path with the query.
///
/// The path and the query stay encoded as sent by the caller.
fn split_target(uri: &Uri) -> (&str, String) {
    let target = uri.path_and_query().map_or("", |target| target.as_str());
    let rest = target.strip_prefix("/services/").unwrap_or_default();
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (name, path) = rest.split_at(end);
    match path.starts_with('/') {
        true => (name, path.to_owned()),
        false => (name, format!("/{path}")),
    }
}

fn parse_key(headers: &HeaderMap, ident: &RequestIdent) -> Result<String, CallerError> {
    let refusal = |reason, detail: &str| CallerError::not_run(ident, reason, detail);
    let Some(value) = headers.get(KEY_HEADER) else {
        let detail = "the call is not idempotent and has no Idempotency-Key header";
        return Err(refusal(RefusalReason::KeyMissing, detail));
    };
    let key = value.to_str().unwrap_or_default();
    let is_visible = key.bytes().all(|byte| byte.is_ascii_graphic());
    if key.is_empty() || key.len() > MAX_KEY_LENGTH || !is_visible {
        let detail = "the Idempotency-Key header must be 1 to 200 visible ASCII characters";
        return Err(refusal(RefusalReason::BadRequest, detail));
    }
    Ok(key.to_owned())
}
