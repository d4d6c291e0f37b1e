//! Validation of a ticket against the configuration that it changes.

use super::AccountSpec;
use super::ChangeTicket;
use super::ConfigState;
use super::ModelSpec;
use super::ObjectKind;
use super::ServiceSpec;
use super::TicketFault;
use super::pool_check::check_pool;

/// The maximum number of objects that one ticket changes, so that it fits into one transaction.
const MAX_OBJECTS: usize = 256;

/// The maximum length of a path or key, in bytes.
const MAX_TEXT_BYTES: usize = 512;

/// Returns every fault of a well-formed ticket.
///
/// The ticket is checked as applied to `config`, the current configuration.
pub fn check_ticket(ticket: &ChangeTicket, config: &ConfigState) -> Vec<TicketFault> {
    let mut faults = Vec::new();
    if ticket.number == 0 {
        faults.push(TicketFault::new("number", "must be at least 1"));
    }
    let count = ticket.object_count();
    if count == 0 {
        let problem = "changes no object; set or delete at least one";
        faults.push(TicketFault::new("ticket", problem));
    }
    if count > MAX_OBJECTS {
        let problem =
            format!("changes {count} objects; split it, at most {MAX_OBJECTS} per ticket");
        faults.push(TicketFault::new("ticket", problem));
        return faults;
    }
    check_duplicates(ticket, &mut faults);
    check_deletes(ticket, config, &mut faults);
    let mut new_config = config.clone();
    new_config.apply(ticket);
    for (index, model) in ticket.models.iter().enumerate() {
        check_model(model, &format!("models[{index}]"), &mut faults);
    }
    for (index, service) in ticket.services.iter().enumerate() {
        check_service(service, &format!("services[{index}]"), &mut faults);
    }
    for (index, account) in ticket.accounts.iter().enumerate() {
        let place = format!("accounts[{index}]");
        check_account(account, &place, &new_config, &mut faults);
        check_references(account, &place, &new_config, &mut faults);
    }
    for (index, pool) in ticket.pools.iter().enumerate() {
        check_pool(pool, &format!("pools[{index}]"), &new_config, &mut faults);
    }
    check_dependents(ticket, &new_config, &mut faults);
    faults
}

/// Returns the kind, name and place in the ticket of every object that it changes or deletes.
fn changed_objects(ticket: &ChangeTicket) -> Vec<(ObjectKind, &str, String)> {
    let mut objects = Vec::new();
    for (index, account) in ticket.accounts.iter().enumerate() {
        let place = format!("accounts[{index}]");
        objects.push((ObjectKind::Account, account.name.as_str(), place));
    }
    for (index, model) in ticket.models.iter().enumerate() {
        let place = format!("models[{index}]");
        objects.push((ObjectKind::Model, model.name.as_str(), place));
    }
    for (index, pool) in ticket.pools.iter().enumerate() {
        let place = format!("pools[{index}]");
        objects.push((ObjectKind::Pool, pool.name.as_str(), place));
    }
    for (index, service) in ticket.services.iter().enumerate() {
        let place = format!("services[{index}]");
        objects.push((ObjectKind::Service, service.name.as_str(), place));
    }
    for (index, object) in ticket.delete.iter().enumerate() {
        objects.push((object.kind, &object.name, format!("delete[{index}]")));
    }
    objects
}

fn check_duplicates(ticket: &ChangeTicket, faults: &mut Vec<TicketFault>) {
    let objects = changed_objects(ticket);
    for (index, (kind, name, place)) in objects.iter().enumerate() {
        let earlier = objects[..index]
            .iter()
            .find(|(other_kind, other_name, _)| other_kind == kind && other_name == name);
        if let Some((_, _, first)) = earlier {
            let kind = kind.as_str();
            let problem = format!("{kind} {name} is already listed at {first}; remove one");
            faults.push(TicketFault::new(place, problem));
        }
    }
}

fn check_deletes(ticket: &ChangeTicket, config: &ConfigState, faults: &mut Vec<TicketFault>) {
    for (index, object) in ticket.delete.iter().enumerate() {
        if config.object(object.kind, &object.name).is_none() {
            let kind = object.kind.as_str();
            let problem = format!("there is no {kind} {}; remove this entry", object.name);
            faults.push(TicketFault::new(format!("delete[{index}]"), problem));
        }
    }
}

fn check_model(model: &ModelSpec, place: &str, faults: &mut Vec<TicketFault>) {
    if model.layers == 0 {
        let problem = "must be at least 1";
        faults.push(TicketFault::new(format!("{place}.layers"), problem));
    }
    if model.weights.is_empty() || model.weights.len() > MAX_TEXT_BYTES {
        let problem = format!("must be 1 to {MAX_TEXT_BYTES} bytes long");
        faults.push(TicketFault::new(format!("{place}.weights"), problem));
    }
}

fn check_service(service: &ServiceSpec, place: &str, faults: &mut Vec<TicketFault>) {
    check_repeated_names(
        &service.endpoints,
        &format!("{place}.endpoints"),
        "endpoint",
        faults,
    );
    if let Some(path) = &service.status_path
        && (!path.starts_with('/') || path.len() > MAX_TEXT_BYTES)
    {
        let problem = format!("must start with / and be at most {MAX_TEXT_BYTES} bytes long");
        faults.push(TicketFault::new(format!("{place}.status_path"), problem));
    }
}

fn check_account(
    account: &AccountSpec,
    place: &str,
    new_config: &ConfigState,
    faults: &mut Vec<TicketFault>,
) {
    let secret = &account.secret_sha256;
    let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    if secret.len() != 64 || !secret.bytes().all(is_digit) {
        let problem = "must be the SHA-256 of the secret as 64 lower-case hexadecimal digits";
        faults.push(TicketFault::new(format!("{place}.secret_sha256"), problem));
    }
    let other = new_config
        .accounts
        .iter()
        .find(|other| other.name != account.name && other.secret_sha256 == *secret);
    if let Some(other) = other {
        let problem = format!(
            "account {} has the same secret; choose another one",
            other.name
        );
        faults.push(TicketFault::new(format!("{place}.secret_sha256"), problem));
    }
    let amounts = [
        ("units_per_second", account.units_per_second),
        ("burst_units", account.burst_units),
        ("weight", u64::from(account.weight)),
    ];
    for (field, _) in amounts.iter().filter(|(_, amount)| *amount == 0) {
        let problem = "must be at least 1";
        faults.push(TicketFault::new(format!("{place}.{field}"), problem));
    }
    let services = format!("{place}.services");
    check_repeated_names(&account.services, &services, "service", faults);
    check_repeated_names(&account.models, &format!("{place}.models"), "model", faults);
}

/// Checks that the services and models of an account exist.
fn check_references(
    account: &AccountSpec,
    place: &str,
    new_config: &ConfigState,
    faults: &mut Vec<TicketFault>,
) {
    for (index, name) in account.services.iter().enumerate() {
        if new_config.service(name).is_none() {
            let problem = format!("there is no service {name}; create it first or in this ticket");
            faults.push(TicketFault::new(
                format!("{place}.services[{index}]"),
                problem,
            ));
        }
    }
    for (index, name) in account.models.iter().enumerate() {
        if new_config.model(name).is_none() {
            let problem = format!("there is no model {name}; create it first or in this ticket");
            faults.push(TicketFault::new(
                format!("{place}.models[{index}]"),
                problem,
            ));
        }
    }
}

fn check_repeated_names<T: PartialEq + std::fmt::Display>(
    names: &[T],
    place: &str,
    label: &str,
    faults: &mut Vec<TicketFault>,
) {
    for (index, name) in names.iter().enumerate() {
        if names[..index].contains(name) {
            let problem = format!("{label} {name} is listed twice; remove one");
            faults.push(TicketFault::new(format!("{place}[{index}]"), problem));
        }
    }
}

/// Checks the accounts and pools that the ticket does not change but that refer to objects which it
/// changes or deletes.
fn check_dependents(
    ticket: &ChangeTicket,
    new_config: &ConfigState,
    faults: &mut Vec<TicketFault>,
) {
    let objects = changed_objects(ticket);
    let is_changed = |kind: ObjectKind, name: &str| {
        let mut changed = objects.iter();
        changed.any(|(other_kind, other_name, _)| *other_kind == kind && *other_name == name)
    };
    let mut broken = Vec::new();
    for account in &new_config.accounts {
        if !is_changed(ObjectKind::Account, account.name.as_str()) {
            let label = format!("account {}", account.name);
            check_references(account, &label, new_config, &mut broken);
        }
    }
    for (kind, name, place) in &objects {
        if *kind != ObjectKind::Model {
            continue;
        }
        for pool in new_config
            .pools
            .iter()
            .filter(|pool| pool.model.as_str() == *name)
        {
            if !is_changed(ObjectKind::Pool, pool.name.as_str()) {
                let label = format!("{place}: pool {}", pool.name);
                check_pool(pool, &label, new_config, &mut broken);
            }
        }
    }
    faults.extend(broken);
}
