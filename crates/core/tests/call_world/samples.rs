//! The key, order and answer that all requests of the simulated world share.

use dandelionroad_core::dispatch::CallOrder;
use dandelionroad_core::dispatch::RowKey;
use dandelionroad_core::dispatch::ServiceResult;
use dandelionroad_core::ident::AccountName;
use dandelionroad_core::ident::RequestIdent;
use dandelionroad_core::ident::ServiceName;

use super::DEADLINE_MS;

pub(crate) fn key() -> RowKey {
    RowKey {
        account: AccountName::parse("a").unwrap(),
        service: ServiceName::parse("s").unwrap(),
        key: "k".to_owned(),
        attempt: 0,
    }
}

pub(crate) fn fingerprint() -> String {
    "p".to_owned()
}

pub(crate) fn order(row: RowKey) -> CallOrder {
    CallOrder {
        request: RequestIdent::parse("r").unwrap(),
        account: row.account.clone(),
        weight: 1,
        priority: 0,
        service: row.service.clone(),
        method: "POST".to_owned(),
        path: "/book".to_owned(),
        content_type: String::new(),
        body: String::new(),
        row: Some(row),
        fingerprint: fingerprint(),
        deadline_in_ms: DEADLINE_MS,
    }
}

pub(crate) fn answered_result() -> ServiceResult {
    ServiceResult::Answered {
        status: 201,
        content_type: String::new(),
        body: "booked".to_owned(),
    }
}
