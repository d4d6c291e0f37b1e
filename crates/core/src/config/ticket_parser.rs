//! Parsing of tickets that reports every malformed field at once.
//!
//! `serde_json` stops at the first error, so each field is checked against a table of rules before
//! the ticket is deserialized.

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

/// The maximum number of faults that are reported.
const MAX_FAULTS: usize = 100;

/// A rule for one field of an object in the ticket.
struct FieldRule {
    name: &'static str,
    is_required: bool,
    schema: FieldSchema,
}

/// The type of a field's value.
enum FieldSchema {
    /// A value for which the function returns no error.
    Value(fn(&Value) -> Option<String>),
    /// A list of values for which the function returns no error.
    Values(fn(&Value) -> Option<String>),
    /// A list of objects with these fields.
    Objects(&'static [FieldRule]),
}

const fn required(name: &'static str, schema: FieldSchema) -> FieldRule {
    let is_required = true;
    FieldRule {
        name,
        is_required,
        schema,
    }
}

const fn optional(name: &'static str, schema: FieldSchema) -> FieldRule {
    let is_required = false;
    FieldRule {
        name,
        is_required,
        schema,
    }
}

const ACCOUNT_FIELDS: &[FieldRule] = &[
    required("name", FieldSchema::Value(type_error::<AccountName>)),
    required("secret_sha256", FieldSchema::Value(type_error::<String>)),
    required("units_per_second", FieldSchema::Value(type_error::<u64>)),
    required("burst_units", FieldSchema::Value(type_error::<u64>)),
    required("weight", FieldSchema::Value(type_error::<u32>)),
    optional("priority", FieldSchema::Value(type_error::<u8>)),
    optional("services", FieldSchema::Values(type_error::<ServiceName>)),
    optional("models", FieldSchema::Values(type_error::<ModelName>)),
];

const MODEL_FIELDS: &[FieldRule] = &[
    required("name", FieldSchema::Value(type_error::<ModelName>)),
    required("version", FieldSchema::Value(type_error::<u32>)),
    required("layers", FieldSchema::Value(type_error::<u16>)),
    required("weights", FieldSchema::Value(type_error::<String>)),
];

const MEMBER_FIELDS: &[FieldRule] = &[
    required("name", FieldSchema::Value(type_error::<EndpointName>)),
    required("first_layer", FieldSchema::Value(type_error::<u16>)),
    required("end_layer", FieldSchema::Value(type_error::<u16>)),
    required("tokens_per_second", FieldSchema::Value(type_error::<u32>)),
];

const POOL_FIELDS: &[FieldRule] = &[
    required("name", FieldSchema::Value(type_error::<PoolName>)),
    required("model", FieldSchema::Value(type_error::<ModelName>)),
    required("version", FieldSchema::Value(type_error::<u32>)),
    required("min_ready", FieldSchema::Value(type_error::<u32>)),
    required("endpoints", FieldSchema::Objects(MEMBER_FIELDS)),
];

const SERVICE_FIELDS: &[FieldRule] = &[
    required("name", FieldSchema::Value(type_error::<ServiceName>)),
    required("idempotent", FieldSchema::Value(type_error::<bool>)),
    required("endpoints", FieldSchema::Values(type_error::<EndpointName>)),
    optional(
        "status_path",
        FieldSchema::Value(type_error::<Option<String>>),
    ),
];

const DELETE_FIELDS: &[FieldRule] = &[
    required("kind", FieldSchema::Value(type_error::<ObjectKind>)),
    required("name", FieldSchema::Value(type_error::<String>)),
];

const TICKET_FIELDS: &[FieldRule] = &[
    required("number", FieldSchema::Value(type_error::<u64>)),
    optional("accounts", FieldSchema::Objects(ACCOUNT_FIELDS)),
    optional("models", FieldSchema::Objects(MODEL_FIELDS)),
    optional("pools", FieldSchema::Objects(POOL_FIELDS)),
    optional("services", FieldSchema::Objects(SERVICE_FIELDS)),
    optional("delete", FieldSchema::Objects(DELETE_FIELDS)),
];

/// Parses a ticket, or returns a fault for every unknown, missing or malformed field.
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

/// Returns the error of deserializing `value` as `T`, or `None` if it is valid.
fn type_error<T: DeserializeOwned>(value: &Value) -> Option<String> {
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
        let place = join_path(place, rule.name);
        match fields.get(rule.name) {
            Some(value) => check_field(value, &place, &rule.schema, faults),
            None if rule.is_required => {
                faults.push(TicketFault::new(place, "missing required field; add it"))
            }
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
        faults.push(TicketFault::new(join_path(place, key), problem));
    }
}

fn check_field(value: &Value, place: &str, schema: &FieldSchema, faults: &mut Vec<TicketFault>) {
    if let FieldSchema::Value(type_error) = schema {
        faults.extend(type_error(value).map(|problem| TicketFault::new(place, problem)));
        return;
    }
    let Value::Array(items) = value else {
        faults.push(TicketFault::new(place, "must be a list"));
        return;
    };
    for (index, item) in items.iter().enumerate() {
        let place = format!("{place}[{index}]");
        match schema {
            FieldSchema::Objects(rules) => check_object(item, &place, rules, faults),
            FieldSchema::Values(type_error) | FieldSchema::Value(type_error) => {
                faults.extend(type_error(item).map(|problem| TicketFault::new(&place, problem)));
            }
        }
    }
}

fn join_path(place: &str, name: &str) -> String {
    if place.is_empty() {
        name.to_owned()
    } else {
        format!("{place}.{name}")
    }
}
