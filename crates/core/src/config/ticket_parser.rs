//! Parses tickets so that every fault of the form is found at once, not only the first one.

use serde::de::DeserializeOwned;
use serde_json::Map;
use serde_json::Value;

use crate::ident::AccountName;
use crate::ident::EndpointName;
use crate::ident::ModelName;
use crate::ident::PoolName;
use crate::ident::ServiceName;

use super::ChangeTicket;
use super::ObjectKind;
use super::TicketFault;

/// The greatest number of faults that are reported.
const MAX_FAULTS: usize = 100;

/// A field of an object of the ticket.
struct FieldRule {
    name: &'static str,
    is_required: bool,
    form: FieldForm,
}

/// What a field must hold.
enum FieldForm {
    /// A value that the function accepts; otherwise it returns what is wrong.
    Value(fn(&Value) -> Option<String>),
    /// A list of values that the function accepts.
    Values(fn(&Value) -> Option<String>),
    /// A list of objects with these fields.
    Objects(&'static [FieldRule]),
}

const fn required(name: &'static str, form: FieldForm) -> FieldRule {
    let is_required = true;
    FieldRule {
        name,
        is_required,
        form,
    }
}

const fn optional(name: &'static str, form: FieldForm) -> FieldRule {
    let is_required = false;
    FieldRule {
        name,
        is_required,
        form,
    }
}

const ACCOUNT_FIELDS: &[FieldRule] = &[
    required("name", FieldForm::Value(check::<AccountName>)),
    required("secret_sha256", FieldForm::Value(check::<String>)),
    required("units_per_second", FieldForm::Value(check::<u64>)),
    required("burst_units", FieldForm::Value(check::<u64>)),
    required("weight", FieldForm::Value(check::<u32>)),
    optional("priority", FieldForm::Value(check::<u8>)),
    optional("services", FieldForm::Values(check::<ServiceName>)),
    optional("models", FieldForm::Values(check::<ModelName>)),
];

const MODEL_FIELDS: &[FieldRule] = &[
    required("name", FieldForm::Value(check::<ModelName>)),
    required("version", FieldForm::Value(check::<u32>)),
    required("layers", FieldForm::Value(check::<u16>)),
    required("weights", FieldForm::Value(check::<String>)),
];

const MEMBER_FIELDS: &[FieldRule] = &[
    required("name", FieldForm::Value(check::<EndpointName>)),
    required("first_layer", FieldForm::Value(check::<u16>)),
    required("end_layer", FieldForm::Value(check::<u16>)),
    required("tokens_per_second", FieldForm::Value(check::<u32>)),
];

const POOL_FIELDS: &[FieldRule] = &[
    required("name", FieldForm::Value(check::<PoolName>)),
    required("model", FieldForm::Value(check::<ModelName>)),
    required("version", FieldForm::Value(check::<u32>)),
    required("min_ready", FieldForm::Value(check::<u32>)),
    required("endpoints", FieldForm::Objects(MEMBER_FIELDS)),
];

const SERVICE_FIELDS: &[FieldRule] = &[
    required("name", FieldForm::Value(check::<ServiceName>)),
    required("idempotent", FieldForm::Value(check::<bool>)),
    required("endpoints", FieldForm::Values(check::<EndpointName>)),
    optional("status_path", FieldForm::Value(check::<Option<String>>)),
];

const DELETE_FIELDS: &[FieldRule] = &[
    required("kind", FieldForm::Value(check::<ObjectKind>)),
    required("name", FieldForm::Value(check::<String>)),
];

const TICKET_FIELDS: &[FieldRule] = &[
    required("number", FieldForm::Value(check::<u64>)),
    optional("accounts", FieldForm::Objects(ACCOUNT_FIELDS)),
    optional("models", FieldForm::Objects(MODEL_FIELDS)),
    optional("pools", FieldForm::Objects(POOL_FIELDS)),
    optional("services", FieldForm::Objects(SERVICE_FIELDS)),
    optional("delete", FieldForm::Objects(DELETE_FIELDS)),
];

/// Parses a ticket, or returns every fault of its form.
pub(super) fn parse_ticket(json: &[u8]) -> Result<ChangeTicket, Vec<TicketFault>> {
    let value: Value = serde_json::from_slice(json).map_err(|error| {
        let place = format!("line {} column {}", error.line(), error.column());
        vec![TicketFault::new(place, format!("not valid JSON: {error}"))]
    })?;
    let mut faults = Vec::new();
    check_object(&value, "", TICKET_FIELDS, &mut faults);
    if !faults.is_empty() {
        faults.truncate(MAX_FAULTS);
        return Err(faults);
    }
    serde_json::from_value(value)
        .map_err(|error| vec![TicketFault::new("ticket", error.to_string())])
}

/// Returns what is wrong with the value for the type, if anything.
fn check<T: DeserializeOwned>(value: &Value) -> Option<String> {
    serde_json::from_value::<T>(value.clone())
        .err()
        .map(|error| error.to_string())
}

fn check_object(
    value: &Value,
    place: &str,
    rules: &'static [FieldRule],
    faults: &mut Vec<TicketFault>,
) {
    let Value::Object(fields) = value else {
        let place = if place.is_empty() { "ticket" } else { place };
        faults.push(TicketFault::new(place, "must be a JSON object"));
        return;
    };
    check_unknown_fields(fields, place, rules, faults);
    for rule in rules {
        let place = join(place, rule.name);
        match fields.get(rule.name) {
            Some(value) => check_field(value, &place, &rule.form, faults),
            None if rule.is_required => faults.push(TicketFault::new(place, "missing; add it")),
            None => {}
        }
    }
}

fn check_unknown_fields(
    fields: &Map<String, Value>,
    place: &str,
    rules: &'static [FieldRule],
    faults: &mut Vec<TicketFault>,
) {
    let names: Vec<&str> = rules.iter().map(|rule| rule.name).collect();
    let unknown = fields.keys().filter(|key| !names.contains(&key.as_str()));
    for key in unknown {
        let problem = format!("unknown field; use only {}", names.join(", "));
        faults.push(TicketFault::new(join(place, key), problem));
    }
}

fn check_field(value: &Value, place: &str, form: &FieldForm, faults: &mut Vec<TicketFault>) {
    if let FieldForm::Value(check) = form {
        faults.extend(check(value).map(|problem| TicketFault::new(place, problem)));
        return;
    }
    let Value::Array(items) = value else {
        faults.push(TicketFault::new(place, "must be a list"));
        return;
    };
    for (index, item) in items.iter().enumerate() {
        let place = format!("{place}[{index}]");
        match form {
            FieldForm::Objects(rules) => check_object(item, &place, rules, faults),
            FieldForm::Values(check) | FieldForm::Value(check) => {
                faults.extend(check(item).map(|problem| TicketFault::new(&place, problem)));
            }
        }
    }
}

fn join(place: &str, name: &str) -> String {
    if place.is_empty() {
        name.to_owned()
    } else {
        format!("{place}.{name}")
    }
}
