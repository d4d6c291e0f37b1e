use dandelionroad_core::hex::hex_text;
use serde_json::Value;
use serde_json::json;
use sha2::Digest;
use sha2::Sha256;

use super::ACCOUNT_SECRET;
use super::DemoLayout;
use super::LAYERS;
use super::MODEL;
use super::SERVICE;

/// The configured capacity of each endpoint, in tokens per second.
const TOKENS_PER_SECOND: u32 = 1_000;

/// Returns the change ticket with the initial configuration: a client account, the model with its
/// pool, and the booking service if the layout has endpoints for it.
pub fn demo_ticket(layout: &DemoLayout) -> Value {
    let members: Vec<Value> = layout
        .stages
        .iter()
        .map(|(name, _, range)| {
            json!({
                "name": name,
                "first_layer": range.first,
                "end_layer": range.end,
                "tokens_per_second": TOKENS_PER_SECOND,
            })
        })
        .collect();
    let bookings: Vec<&str> = layout.bookings.iter().map(|(name, _)| *name).collect();
    let services = match bookings.is_empty() {
        true => json!([]),
        false => json!([{
            "name": SERVICE,
            "idempotent": false,
            "endpoints": bookings,
            "status_path": "/bookings/by-key/",
        }]),
    };
    let granted = match bookings.is_empty() {
        true => json!([]),
        false => json!([SERVICE]),
    };
    json!({
        "number": 1,
        "accounts": [{
            "name": "cordeleria",
            "secret_sha256": hex_digest(ACCOUNT_SECRET),
            "units_per_second": 1_000_000,
            "burst_units": 10_000_000,
            "weight": 1,
            "services": granted,
            "models": [MODEL],
        }],
        "models": [{"name": MODEL, "version": 1, "layers": LAYERS, "weights": "knots-1"}],
        "pools": [{
            "name": "knots-pool",
            "model": MODEL,
            "version": 1,
            "min_ready": 1,
            "endpoints": members,
        }],
        "services": services,
    })
}

fn hex_digest(secret: &str) -> String {
    let digest = Sha256::digest(secret);
    hex_text(&digest)
}
