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

/// The header that carries the caller's key of a call that is not idempotent.
const KEY_HEADER: &str = "idempotency-key";

/// The greatest length of an idempotency key in characters.
const MAX_KEY_LENGTH: usize = 200;

/// A checked call of a client account to a plain service.
pub(super) struct CallRequest {
    /// The service.
    pub(super) service: ServiceSpec,
    /// The order for an endpoint; its row names attempt 0.
    pub(super) order: CallOrder,
    /// The time at which the caller is answered at the latest, but for a last step under way.
    pub(super) deadline: MilliTime,
}

impl CallRequest {
    /// Checks a call.
    ///
    /// # Errors
    ///
    /// Returns what the caller is told if the service is not granted, the key is missing or
    /// malformed, or the body is not text.
    pub(super) fn parse(
        config: &ConfigState,
        account: AccountSpec,
        ident: &RequestIdent,
        (method, uri, headers): (&Method, &Uri, &HeaderMap),
        body: &[u8],
        (now, deadline_in_ms): (MilliTime, u64),
    ) -> Result<CallRequest, CallerError> {
        let refused = |reason, detail: &str| CallerError::not_run(ident, reason, detail);
        let (name, path) = split_target(uri);
        let service = granted_service(config, &account, name).ok_or_else(|| {
            refused(
                RefusalReason::NotFound,
                "the client account has no such service",
            )
        })?;
        let body = std::str::from_utf8(body)
            .map_err(|_| refused(RefusalReason::BadRequest, "the body is not UTF-8 text"))?;
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

/// Splits `/services/{service}/{path}?{query}` into the service and the path with the query, which
/// stays encoded as the caller sent it.
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
    let refused = |reason, detail: &str| CallerError::not_run(ident, reason, detail);
    let Some(value) = headers.get(KEY_HEADER) else {
        let detail = "the call is not idempotent and carries no Idempotency-Key";
        return Err(refused(RefusalReason::KeyMissing, detail));
    };
    let key = value.to_str().unwrap_or_default();
    let is_visible = key.bytes().all(|byte| byte.is_ascii_graphic());
    if key.is_empty() || key.len() > MAX_KEY_LENGTH || !is_visible {
        let detail = "the Idempotency-Key is not 1 to 200 visible ASCII characters";
        return Err(refused(RefusalReason::BadRequest, detail));
    }
    Ok(key.to_owned())
}
