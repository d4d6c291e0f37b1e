use std::io;
use std::net::SocketAddr;
use std::ops::Deref;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use axum::Json;
use axum::Router;
use axum::extract::Path;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use serde_json::Value;
use serde_json::json;

use crate::server::ConnectionCut;
use crate::server::FaultSwitches;
use crate::server::StandinServer;

/// The stock of each item before the first booking.
const INITIAL_STOCK: u64 = 1_000_000;

/// A running booking service.
///
/// It does not deduplicate: each call that takes effect is one run, even under a known key.
#[derive(Debug)]
pub struct BookingStandin {
    server: StandinServer,
    state: Arc<BookingState>,
}

#[derive(Debug, Default)]
struct BookingState {
    faults: Arc<FaultSwitches>,
    ledger: Mutex<BookingLedger>,
}

#[derive(Debug, Default)]
struct BookingLedger {
    /// The keys and bookings, in the order of execution.
    runs: Vec<(String, Value)>,
    /// The number of runs for each key, sorted by key.
    runs_by_key: Vec<(String, u32)>,
    /// The highest fencing token received so far.
    highest_fence: u64,
}

impl BookingStandin {
    /// Starts a booking service with no bookings at `address`; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the address can't be bound.
    pub async fn start(address: SocketAddr) -> io::Result<BookingStandin> {
        let state = Arc::new(BookingState::default());
        let router = Router::new()
            .route("/book", post(book))
            .route("/stock/{item}", get(stock))
            .route("/bookings/by-key/{key}", get(read_booking))
            .route("/count", get(count))
            .with_state(state.clone());
        let server = StandinServer::start(address, state.faults.clone(), router).await?;
        Ok(BookingStandin { server, state })
    }

    /// Returns the number of runs under `key`.
    pub fn runs(&self, key: &str) -> u32 {
        let ledger = self.state.lock();
        let found = ledger.find(key);
        found.map_or(0, |index| ledger.runs_by_key[index].1)
    }

    /// Returns the total number of runs.
    pub fn total_runs(&self) -> usize {
        self.state.lock().runs.len()
    }

    /// Returns the number of runs of the key with the most runs.
    pub fn max_runs_per_key(&self) -> u32 {
        self.state.lock().max_runs_per_key()
    }
}

impl Deref for BookingStandin {
    type Target = StandinServer;

    fn deref(&self) -> &StandinServer {
        &self.server
    }
}

impl BookingState {
    fn lock(&self) -> MutexGuard<'_, BookingLedger> {
        self.ledger
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }
}

impl BookingLedger {
    /// Returns the index of `key` in `runs_by_key`, or as an error the index at which to insert it.
    fn find(&self, key: &str) -> Result<usize, usize> {
        self.runs_by_key
            .binary_search_by(|(known, _)| known.as_str().cmp(key))
    }

    fn max_runs_per_key(&self) -> u32 {
        let runs = self.runs_by_key.iter().map(|(_, count)| *count);
        runs.max().unwrap_or_default()
    }

    fn add(&mut self, key: &str, order: Value) -> Value {
        let booking = json!({"booking": self.runs.len() + 1, "key": key, "order": order});
        self.runs.push((key.to_owned(), booking.clone()));
        match self.find(key) {
            Ok(index) => self.runs_by_key[index].1 += 1,
            Err(index) => self.runs_by_key.insert(index, (key.to_owned(), 1)),
        }
        booking
    }

    /// Records a fencing token and returns whether it is at least as high as all earlier ones.
    fn record_fence(&mut self, fence: u64) -> bool {
        let is_current = fence >= self.highest_fence;
        self.highest_fence = self.highest_fence.max(fence);
        is_current
    }
}

async fn book(
    State(state): State<Arc<BookingState>>,
    headers: HeaderMap,
    Json(order): Json<Value>,
) -> Result<Response, ConnectionCut> {
    state.faults.before_write().await?;
    let key = header_text(&headers, "idempotency-key");
    let fence = header_text(&headers, "x-dandelionroad-fence").parse().ok();
    let checks_fence = state.faults.plan().checks_fence;
    let booking = {
        let mut ledger = state.lock();
        if !ledger.record_fence(fence.unwrap_or_default()) && checks_fence {
            return Ok((StatusCode::PRECONDITION_FAILED, "stale fencing token").into_response());
        }
        ledger.add(key, order)
    };
    state.faults.after_write().await?;
    Ok((StatusCode::CREATED, Json(booking)).into_response())
}

async fn stock(State(state): State<Arc<BookingState>>, Path(item): Path<String>) -> Json<Value> {
    state.faults.before_request().await;
    let booked = {
        let ledger = state.lock();
        let orders = ledger.runs.iter().map(|(_, booking)| &booking["order"]);
        let of_item = orders.filter(|order| order["item"] == item.as_str());
        of_item
            .map(|order| order["quantity"].as_u64().unwrap_or(1))
            .sum::<u64>()
    };
    state.faults.after_request().await;
    Json(json!({"item": item, "stock": INITIAL_STOCK.saturating_sub(booked)}))
}

async fn read_booking(State(state): State<Arc<BookingState>>, Path(key): Path<String>) -> Response {
    state.faults.before_request().await;
    let found = {
        let ledger = state.lock();
        let run = ledger.runs.iter().find(|(known, _)| *known == key);
        run.map(|(_, booking)| booking.clone())
    };
    state.faults.after_request().await;
    match found {
        Some(booking) => Json(booking).into_response(),
        None => (StatusCode::NOT_FOUND, Json(json!({"key": key}))).into_response(),
    }
}

async fn count(State(state): State<Arc<BookingState>>) -> Json<Value> {
    let ledger = state.lock();
    Json(json!({
        "runs": ledger.runs.len(),
        "keys": ledger.runs_by_key.len(),
        "most_runs_of_a_key": ledger.max_runs_per_key(),
    }))
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default()
}
