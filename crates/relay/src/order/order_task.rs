use std::rc::Rc;
use std::time::Duration;

use dandelionroad_core::chain::PlacementEngine;
use dandelionroad_core::chain::PlacementOrder;
use dandelionroad_core::chain::PlacementPlanner;
use dandelionroad_core::lease::LeaseHolder;
use dandelionroad_core::time::MilliTime;
use futures_util::StreamExt;

use crate::engine::fetch_report;
use crate::node::NodeState;
use crate::peer::is_store_reader;
use crate::store::StoreClient;
use crate::wire::EngineOrder;
use crate::wire::OrderAnswer;

use super::lease_task::acquire_lease;
use super::pending_order::PendingOrder;

/// The duration of the lease, in milliseconds.
///
/// It is also the maximum time that restarted engines wait for orders after the lease holder is lost.
const LEASE_MS: u64 = 6_000;

/// The interval at which the lease is renewed, in milliseconds.
const RENEWAL_INTERVAL_MS: u64 = 2_000;

/// The interval at which the list of engines is checked for needed orders, in milliseconds.
const PLAN_INTERVAL_MS: u64 = 250;

/// The time for which no engine may have been added before the first placement, in milliseconds.
///
/// All engines start together and appear in the list in batches about a second apart. The plan for all of
/// them differs from that for the first ones.
const SETTLE_MS: u64 = 2_000;

/// The time after which an order whose layers the engine has not listed counts as failed, in
/// milliseconds.
///
/// An order without a response may be carried out up to twelve seconds later.
const PENDING_TIMEOUT_MS: u64 = 14_000;

/// The maximum number of orders that are sent at the same time.
///
/// An order takes two round trips on new connections, some ten milliseconds on a small host. One after the
/// other, the first placement of 3,000 engines takes longer than the time until callers come.
const MAX_CONCURRENT_ORDERS: usize = 64;

/// The time-out of a placement order or a report request, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 1_000;

/// Sends placement orders while this process holds the lease, until the process ends.
///
/// Only the store reader tries to acquire the lease.
pub async fn run_orders(state: Rc<NodeState>, store: Rc<StoreClient>) {
    let name = format!("{}/{}", state.settings.name, state.clock.now().as_millis());
    let mut holder = LeaseHolder::new(&name, LEASE_MS);
    let mut next_renewal = MilliTime::default();
    let mut pending: Vec<PendingOrder> = Vec::new();
    loop {
        tokio::time::sleep(Duration::from_millis(PLAN_INTERVAL_MS)).await;
        let now = state.clock.now();
        if now >= next_renewal && (holder.is_held(now) || is_store_reader(&state)) {
            next_renewal = now.plus(RENEWAL_INTERVAL_MS);
            let was_held = holder.is_held(now);
            if let Err(error) = acquire_lease(&state, &store, &mut holder).await {
                spdlog::warn!("orders: can't acquire or renew the lease, retrying: {error}");
            }
            if was_held && !holder.is_held(state.clock.now()) {
                spdlog::warn!("orders: lease lost, no further orders are sent");
                pending.clear();
            }
        }
        if holder.is_held(state.clock.now()) {
            send_orders(&state, &holder, &mut pending).await;
        }
    }
}

/// Plans and sends the orders that are needed at present, several at a time.
async fn send_orders(state: &Rc<NodeState>, holder: &LeaseHolder, pending: &mut Vec<PendingOrder>) {
    let now = state.clock.now();
    prune_pending(state, pending, now);
    let orders = plan_orders(state, pending, now);
    let sends = orders.iter().map(async |order| {
        // The lease may expire while earlier orders are sent.
        match holder.is_held(state.clock.now()) {
            true => send_order(state, holder, order).await,
            false => None,
        }
    });
    let sent = futures_util::stream::iter(sends).buffer_unordered(MAX_CONCURRENT_ORDERS);
    let sent: Vec<Option<PendingOrder>> = sent.collect().await;
    pending.extend(sent.into_iter().flatten());
}

/// Drops the orders whose layers the list of engines shows, whose engine was removed or restarted, or that
/// have expired.
fn prune_pending(state: &NodeState, pending: &mut Vec<PendingOrder>, now: MilliTime) {
    let view = state.view.borrow();
    pending.retain(|order| {
        let entry = view.engines.get(&order.id);
        entry.is_some_and(|entry| {
            let is_same = entry.record.started_ms == order.started_ms;
            is_same && entry.record.layers != order.layers && now < order.expiry
        })
    });
}

/// Returns the orders that the placement plans of all model services require.
///
/// Before the first placement of a service, no order is sent until the list of its engines is settled.
fn plan_orders(state: &NodeState, pending: &[PendingOrder], now: MilliTime) -> Vec<PlacementOrder> {
    let view = state.view.borrow();
    let Some(config) = view.config.as_ref() else {
        return Vec::new();
    };
    let mut orders = Vec::new();
    for service in &config.services {
        let Some(shape) = &service.model else {
            continue;
        };
        let listed = view
            .engines
            .entries()
            .iter()
            .filter(|entry| entry.record.service == service.name && !entry.is_ending());
        let mut engines = Vec::new();
        let mut is_settled = true;
        for entry in listed {
            let Some(kind) = &entry.record.kind else {
                continue;
            };
            let ordered = pending.iter().find(|order| order.id == entry.record.id);
            let layers = ordered.map_or(entry.record.layers, |order| order.layers);
            is_settled &= now.since(entry.listed_at) >= SETTLE_MS;
            engines.push(PlacementEngine {
                id: entry.record.id.clone(),
                zone: entry.record.zone.clone(),
                kind: kind.clone(),
                layers,
                has_pending_order: ordered.is_some(),
            });
        }
        let is_first = engines.iter().all(|engine| engine.layers.is_empty());
        if !is_first || is_settled {
            orders.extend(PlacementPlanner::new(shape).orders(&engines));
        }
    }
    orders
}

/// Sends an order to an engine if the engine is idle and its report shows the same layers as the list of
/// engines.
///
/// Returns the pending order if it may take effect.
async fn send_order(
    state: &Rc<NodeState>,
    holder: &LeaseHolder,
    order: &PlacementOrder,
) -> Option<PendingOrder> {
    let (address, started_ms, listed) = {
        let view = state.view.borrow();
        let entry = view.engines.get(&order.id)?;
        // An engine that has asked for a pause wants no reports and orders either.
        if !entry.accepts_work(state.clock.now()) {
            return None;
        }
        let record = &entry.record;
        (record.address, record.started_ms, record.layers)
    };
    let pending = PendingOrder {
        id: order.id.clone(),
        started_ms,
        layers: order.layers,
        expiry: state.clock.now().plus(PENDING_TIMEOUT_MS),
    };
    let report = match fetch_report(state, &order.id, address, CALL_TIMEOUT_MS).await {
        Ok(report) => report,
        Err(error) => {
            spdlog::warn!("orders: not sent, as the engine returned no report: {error}", kv: {
                engine = order.id.as_str(),
            });
            return None;
        }
    };
    if report.is_busy || report.layers != listed {
        return None;
    }
    // The process may have been suspended while it waited for the report.
    if !holder.is_held(state.clock.now()) {
        spdlog::warn!("orders: not sent, as the lease expired before the engine's report arrived", kv: {
            engine = order.id.as_str(),
        });
        return None;
    }
    let message = EngineOrder {
        engine: &order.id,
        layers: order.layers,
        expected_count: report.order_count,
    };
    let result = state
        .engine_client
        .call(
            address,
            state.format.encode_order(&message),
            CALL_TIMEOUT_MS,
        )
        .await;
    let answer = match &result {
        Ok((status, _)) => Some(state.format.decode_order_answer(*status)),
        Err(_) => None,
    };
    let outcome = match answer {
        Some(OrderAnswer::Begun) => "begun",
        Some(OrderAnswer::Done) => "done",
        Some(OrderAnswer::Conflict) => "conflict",
        Some(OrderAnswer::Refused) => "refused",
        None => "unknown",
    };
    state.metrics.count_order(outcome);
    spdlog::info!("orders: placement order {outcome}", kv: {
        engine = order.id.as_str(),
        first = order.layers.first,
        end = order.layers.end,
        expected_count = report.order_count,
        cause = result.as_ref().err().map_or("", String::as_str),
    });
    match answer {
        Some(OrderAnswer::Conflict | OrderAnswer::Refused) => None,
        Some(OrderAnswer::Begun | OrderAnswer::Done) | None => Some(pending),
    }
}
