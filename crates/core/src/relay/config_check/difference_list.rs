use crate::relay::AcceleratorKind;
use crate::relay::CallerLimits;
use crate::relay::ModelShape;
use crate::relay::RelayAccount;
use crate::relay::RelayConfig;
use crate::relay::RelayRoute;
use crate::relay::RelayService;

use super::ConfigDifference;

/// The name, the value in force and the later value of a field.
type FieldPair = (&'static str, String, String);

/// Returns the differences of version, limits, routes, services and accounts.
pub(super) fn list_differences(old: &RelayConfig, new: &RelayConfig) -> Vec<ConfigDifference> {
    let mut list = Vec::new();
    let version = ("version", old.version.to_string(), new.version.to_string());
    push_changed(&mut list, "configuration", vec![version]);
    push_changed(&mut list, "limits", limit_pairs(&old.limits, &new.limits));
    compare(
        &mut list,
        &old.routes,
        &new.routes,
        route_part,
        |list, old, new| {
            push_changed(list, &route_part(new), route_pairs(old, new));
        },
    );
    compare(
        &mut list,
        &old.services,
        &new.services,
        service_part,
        compare_service,
    );
    compare(
        &mut list,
        &old.accounts,
        &new.accounts,
        account_part,
        compare_account,
    );
    list
}

/// Compares the parts of two lists that have the same name; a name that occurs again is compared with the first one.
fn compare<T>(
    list: &mut Vec<ConfigDifference>,
    old: &[T],
    new: &[T],
    part: impl Fn(&T) -> String,
    compare_parts: impl Fn(&mut Vec<ConfigDifference>, &T, &T),
) {
    let old_parts = sorted_parts(old, &part);
    let new_parts = sorted_parts(new, &part);
    for item in old {
        let part = part(item);
        if find(&new_parts, &part).is_none() {
            list.push(ConfigDifference::Removed { part });
        }
    }
    for item in new {
        let part = part(item);
        match find(&old_parts, &part) {
            Some(other) => compare_parts(list, other, item),
            None => list.push(ConfigDifference::Added { part }),
        }
    }
}

fn sorted_parts<T>(items: &[T], part: impl Fn(&T) -> String) -> Vec<(String, &T)> {
    let mut parts: Vec<_> = items.iter().map(|item| (part(item), item)).collect();
    parts.sort_by(|left, right| left.0.cmp(&right.0));
    parts.dedup_by(|next, first| next.0 == first.0);
    parts
}

fn find<'a, T>(parts: &[(String, &'a T)], name: &str) -> Option<&'a T> {
    let index = parts.binary_search_by(|(part, _)| part.as_str().cmp(name));
    index.ok().map(|index| parts[index].1)
}

fn route_part(route: &RelayRoute) -> String {
    format!("route {}{}", route.host.to_ascii_lowercase(), route.prefix)
}

fn service_part(service: &RelayService) -> String {
    format!("service {}", service.name)
}

fn account_part(account: &RelayAccount) -> String {
    format!("account {}", account.name)
}

fn route_pairs(old: &RelayRoute, new: &RelayRoute) -> Vec<FieldPair> {
    let shares = |route: &RelayRoute| {
        let shares = route.shares.iter();
        let shares = shares.map(|share| format!("{} {}", share.service, share.weight));
        format!("[{}]", shares.collect::<Vec<String>>().join(", "))
    };
    vec![
        pair("stream", old.is_stream, new.is_stream),
        (
            "repeat",
            format!("{:?}", old.repeat),
            format!("{:?}", new.repeat),
        ),
        pair("time-out in ms", old.timeout_ms, new.timeout_ms),
        pair("target time in ms", old.target_ms, new.target_ms),
        pair("target gap in ms", old.gap_target_ms, new.gap_target_ms),
        pair("priority", old.priority, new.priority),
        pair("attempts", old.max_attempts, new.max_attempts),
        pair("public", old.is_public, new.is_public),
        ("services", shares(old), shares(new)),
    ]
}

fn limit_pairs(old: &CallerLimits, new: &CallerLimits) -> Vec<FieldPair> {
    vec![
        pair("head in bytes", old.header_bytes, new.header_bytes),
        pair("body in bytes", old.body_bytes, new.body_bytes),
        pair(
            "time-out of the head in ms",
            old.header_timeout_ms,
            new.header_timeout_ms,
        ),
        pair(
            "idle time-out in ms",
            old.idle_timeout_ms,
            new.idle_timeout_ms,
        ),
    ]
}

fn compare_service(list: &mut Vec<ConfigDifference>, old: &RelayService, new: &RelayService) {
    let part = service_part(new);
    let connections = pair("connections", old.max_connections, new.max_connections);
    push_changed(list, &part, vec![connections]);
    match (&old.model, &new.model) {
        (Some(old), Some(new)) => {
            push_changed(list, &part, model_pairs(old, new));
            let kind_part = |kind: &AcceleratorKind| format!("{part}, kind {}", kind.name);
            compare(list, &old.kinds, &new.kinds, kind_part, |list, old, new| {
                push_changed(list, &kind_part(new), kind_pairs(old, new));
            });
        }
        (old, new) => {
            let models = pair("model engines", old.is_some(), new.is_some());
            push_changed(list, &part, vec![models]);
        }
    }
}

fn model_pairs(old: &ModelShape, new: &ModelShape) -> Vec<FieldPair> {
    vec![
        pair("model", &old.name, &new.name),
        pair("layers", old.layers, new.layers),
        pair("MB a layer", old.layer_mb, new.layer_mb),
        pair("KV bytes a token", old.token_bytes, new.token_bytes),
        pair("slots", old.slots, new.slots),
        pair("step in ms", old.step_ms, new.step_ms),
        pair("step in ms a request", old.sequence_ms, new.sequence_ms),
        pair(
            "step in ms for 1,000 tokens",
            old.context_ms,
            new.context_ms,
        ),
        pair("prompt tokens a ms", old.read_per_ms, new.read_per_ms),
        pair("chunk in tokens", old.chunk_tokens, new.chunk_tokens),
        pair("steps a pass", old.pass_steps, new.pass_steps),
        pair("load time in ms", old.load_ms, new.load_ms),
        pair(
            "activation bytes a token",
            old.activation_bytes,
            new.activation_bytes,
        ),
        pair("Mbit/s between zones", old.pipe_mbps, new.pipe_mbps),
        pair("usual prompt", old.usual_prompt, new.usual_prompt),
        pair("usual answer", old.usual_answer, new.usual_answer),
    ]
}

fn kind_pairs(old: &AcceleratorKind, new: &AcceleratorKind) -> Vec<FieldPair> {
    vec![
        pair("memory in MB", old.memory_mb, new.memory_mb),
        pair("step factor", old.step_factor, new.step_factor),
        pair("read factor", old.read_factor, new.read_factor),
    ]
}

fn compare_account(list: &mut Vec<ConfigDifference>, old: &RelayAccount, new: &RelayAccount) {
    let part = account_part(new);
    let priority = |account: &RelayAccount| match account.priority {
        Some(priority) => priority.to_string(),
        None => "that of the route".to_owned(),
    };
    push_changed(
        list,
        &part,
        vec![("priority", priority(old), priority(new))],
    );
    let added = count_lacking(&new.keys, &old.keys);
    let revoked = count_lacking(&old.keys, &new.keys);
    if added + revoked > 0 {
        list.push(ConfigDifference::KeysChanged {
            part,
            added,
            revoked,
        });
    }
}

/// Returns the number of distinct keys that `others` lacks.
fn count_lacking(keys: &[String], others: &[String]) -> usize {
    let mut lacking: Vec<&String> = keys.iter().filter(|key| !others.contains(key)).collect();
    lacking.sort_unstable();
    lacking.dedup();
    lacking.len()
}

fn pair<T: ToString>(field: &'static str, old: T, new: T) -> FieldPair {
    (field, old.to_string(), new.to_string())
}

fn push_changed(list: &mut Vec<ConfigDifference>, part: &str, pairs: Vec<FieldPair>) {
    let changed = pairs.into_iter().filter(|(_, from, to)| from != to);
    list.extend(changed.map(|(field, from, to)| ConfigDifference::Changed {
        part: part.to_owned(),
        field,
        from,
        to,
    }));
}
