use dandelionroad_core::relay::RelayConfig;
use dandelionroad_core::time::MilliTime;
use hyper::http::request::Parts;

use crate::node::RelayView;
use crate::wire::CallerRequest;
use crate::wire::RefusalKind;

/// The indices of an admitted request's route, service and client account in the configuration.
pub(super) type Admitted = (usize, usize, Option<usize>);

/// Looks up the route, service and client account of a request.
///
/// While the configuration may be out of date, all requests that need a key, and those that it denies,
/// are refused as [`RefusalKind::StaleConfig`]: accepting as well as denying could be wrong, and callers
/// may retry a request that has not run.
///
/// # Errors
///
/// Returns the reason for which the request is refused.
pub(super) fn admit(
    view: &RelayView,
    config: &RelayConfig,
    caller: &CallerRequest,
    host: &str,
    parts: &Parts,
    now: MilliTime,
) -> Result<Admitted, RefusalKind> {
    let is_fresh = view.config_age.is_fresh(now);
    let denial = |kind: RefusalKind| match is_fresh {
        true => kind,
        false => RefusalKind::StaleConfig,
    };
    if head_bytes(parts) > config.limits.header_bytes {
        return Err(denial(RefusalKind::LargeHead));
    }
    let route = view
        .routes
        .find(host, parts.uri.path())
        .ok_or(denial(RefusalKind::NoRoute))?;
    let spec = &config.routes[route];
    let account = if config.accounts.is_empty() || spec.is_public {
        None
    } else {
        let key = caller.key.as_deref();
        let found = key.and_then(|key| view.keys.find(key));
        let account = found.ok_or(denial(RefusalKind::UnknownKey))?;
        if !is_fresh {
            return Err(RefusalKind::StaleConfig);
        }
        Some(account)
    };
    let name = spec.service_for(&caller.id).ok_or(RefusalKind::NoEngine)?;
    let service = config
        .services
        .binary_search_by(|service| service.name.as_str().cmp(name))
        .map_err(|_| RefusalKind::NoEngine)?;
    Ok((route, service, account))
}

/// Returns the size of a request's head, in bytes.
fn head_bytes(parts: &Parts) -> usize {
    let target = parts.uri.path_and_query();
    let target_bytes = target.map_or(0, |target| target.as_str().len());
    let line_bytes = parts.method.as_str().len() + target_bytes + "  HTTP/1.1\r\n".len();
    let headers = parts.headers.iter();
    let headers = headers.map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len());
    line_bytes + headers.sum::<usize>() + "\r\n".len()
}
