use axum::http::HeaderMap;
use axum::http::header::AUTHORIZATION;
use dandelionroad_core::config::AccountSpec;
use dandelionroad_core::config::ConfigState;
use dandelionroad_core::hex::hex_text;
use dandelionroad_core::ident::RequestIdent;
use dandelionroad_core::outcome::RefusalReason;
use sha2::Digest;
use sha2::Sha256;

use super::caller_error::CallerError;

/// Returns the client account whose secret the caller sent as a bearer token.
///
/// The configuration holds only the SHA-256 digests of the secrets.
pub(super) fn authenticate(
    config: &ConfigState,
    headers: &HeaderMap,
    request: &RequestIdent,
) -> Result<AccountSpec, CallerError> {
    let secret = bearer_token(headers).ok_or_else(|| {
        let detail = "the request has no bearer token";
        CallerError::not_run(request, RefusalReason::Unauthorized, detail)
    })?;
    let digest = hex_text(&Sha256::digest(secret));
    config.account_by_secret(&digest).cloned().ok_or_else(|| {
        let detail = "the bearer token does not belong to any client account";
        CallerError::not_run(request, RefusalReason::Unauthorized, detail)
    })
}

/// Returns the token of the header `authorization: Bearer <token>`.
pub(super) fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    headers
        .get(AUTHORIZATION)?
        .to_str()
        .ok()?
        .strip_prefix("Bearer ")
}

/// Returns a random 128-bit request identifier.
pub(super) fn new_request_ident() -> RequestIdent {
    let text = format!("{:032x}", rand::random::<u128>());
    RequestIdent::parse(&text).expect("hexadecimal digits are valid")
}
