use std::rc::Rc;
use std::time::Duration;

use dandelionroad_core::chain::PlacementEngine;
use dandelionroad_core::chain::PlacementOrder;
use dandelionroad_core::chain::PlacementPlanner;
use dandelionroad_core::lease::LeaseHolder;
use dandelionroad_core::time::MilliTime;

use crate::engine::fetch_report;
use crate::node::NodeState;
use crate::peer::reads_for_others;
use crate::store::StoreClient;
use crate::wire::EngineOrder;
use crate::wire::OrderAnswer;

use super::lease_task::step_lease;
use super::pending_order::PendingOrder;

/// The length of the lease, in milliseconds.
///
/// Engines that come back empty wait for orders this long at most after their giver is lost.
const LEASE_MS: u64 = 6_000;

/// The time between two renewals of the lease, in milliseconds.
const RENEW_MS: u64 = 2_000;

/// The time between two looks at the list of engines, in milliseconds.
const ROUND_MS: u64 = 250;

/// How long no engine must have been added before the first placement, in milliseconds.
///
/// All engines start together; the plan for all of them differs from that for the first ones. They
/// appear in the list in batches about a second apart.
const SETTLE_MS: u64 = 2_000;

/// How long an order may take until the engine lists its layers, in milliseconds.
///
/// An order without an answer may be carried out twelve seconds later.
const PENDING_MS: u64 = 14_000;

/// The longest wait for an engine's answer to an order or a question, in milliseconds.
const ANSWER_MS: u64 = 1_000;

/// Gives orders whenever this process holds the lease, until it ends.
pub async fn run_orders(state: Rc<NodeState>, store: Rc<StoreClient>) {
    let name = format!("{}/{}", state.settings.name, state.clock.now().as_millis());
    let mut holder = LeaseHolder::new(&name, LEASE_MS);
    let mut next_renewal = MilliTime::default();
    let mut pending: Vec<PendingOrder> = Vec::new();
    loop {
        tokio::time::sleep(Duration::from_millis(ROUND_MS)).await;
        let now = state.clock.now();
        if now >= next_renewal && (holder.is_held(now) || reads_for_others(&state)) {
            next_renewal = now.plus(RENEW_MS);
            let was_held = holder.is_held(now);
            if let Err(error) = step_lease(&state, &store, &mut holder).await {
                spdlog::warn!("orders: lease not read or renewed: {error}");
            }
            if was_held && !holder.is_held(state.clock.now()) {
                spdlog::warn!("orders: lease lost");
                pending.clear();
            }
        }
        if holder.is_held(state.clock.now()) {
            give_orders(&state, &holder, &mut pending).await;
        }
    }
}

async fn give_orders(state: &Rc<NodeState>, holder: &LeaseHolder, pending: &mut Vec<PendingOrder>) {
    let now = state.clock.now();
    settle_pending(state, pending, now);
    for order in plan(state, pending, now) {
        if !holder.is_held(state.clock.now()) {
            return;
        }
        if let Some(sent) = place(state, &order).await {
            pending.push(sent);
        }
    }
}

/// Drops the orders whose effect is listed, whose engine is gone or that had no effect.
fn settle_pending(state: &NodeState, pending: &mut Vec<PendingOrder>, now: MilliTime) {
    let view = state.view.borrow();
    pending.retain(|order| {
        let entry = view.engines.get(&order.id);
        entry.is_some_and(|entry| {
            let is_same = entry.record.started_ms == order.started_ms;
            is_same && entry.record.layers != order.layers && now < order.until
        })
    });
}

fn plan(state: &NodeState, pending: &[PendingOrder], now: MilliTime) -> Vec<PlacementOrder> {
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
            .filter(|entry| entry.record.service == service.name && !entry.record.is_draining);
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

/// Asks an engine for its state and, if it is as listed and idle, orders it to hold layers.
///
/// Returns the order if it may take effect.
async fn place(state: &Rc<NodeState>, order: &PlacementOrder) -> Option<PendingOrder> {
    let (address, started_ms, listed) = {
        let view = state.view.borrow();
        let record = &view.engines.get(&order.id)?.record;
        (record.address, record.started_ms, record.layers)
    };
    let pending = PendingOrder {
        id: order.id.clone(),
        started_ms,
        layers: order.layers,
        until: state.clock.now().plus(PENDING_MS),
    };
    let report = match fetch_report(state, address, ANSWER_MS).await {
        Ok(report) => report,
        Err(error) => {
            spdlog::warn!("orders: no report: {error}", kv: { engine = order.id.as_str() });
            return None;
        }
    };
    if report.is_busy || report.layers != listed {
        return None;
    }
    let message = EngineOrder {
        layers: order.layers,
        expected_count: report.order_count,
    };
    let result = state
        .engine_client
        .call(address, state.format.encode_order(&message), ANSWER_MS)
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
    spdlog::info!("orders: place {outcome}", kv: {
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
