use bytes::Bytes;
use dandelionroad_core::relay::AcceleratorKind;
use dandelionroad_core::relay::CallerLimits;
use dandelionroad_core::relay::EngineRecord;
use dandelionroad_core::relay::ModelShape;
use dandelionroad_core::relay::RelayAccount;
use dandelionroad_core::relay::RelayConfig;
use dandelionroad_core::relay::RelayService;
use dandelionroad_core::relay::RequestSize;
use dandelionroad_core::relay::StoreVersion;
use dandelionroad_core::stream::LayerRange;
use dandelionroad_relay::wire::CallerRequest;
use dandelionroad_relay::wire::DecodeError;
use dandelionroad_relay::wire::EncodedCall;
use dandelionroad_relay::wire::EngineCall;
use dandelionroad_relay::wire::EngineOrder;
use dandelionroad_relay::wire::EngineReport;
use dandelionroad_relay::wire::OrderAnswer;
use dandelionroad_relay::wire::ResponseHead;
use dandelionroad_relay::wire::RetryAfter;
use dandelionroad_relay::wire::StoreCall;
use dandelionroad_relay::wire::StoreReply;
use dandelionroad_relay::wire::StoreRow;
use dandelionroad_relay::wire::StoreTable;
use dandelionroad_relay::wire::WireFormat;
use hyper::HeaderMap;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use serde_json::Value;
use serde_json::json;

use super::panic_point::PanicPoint;
use super::panic_point::check_panic;
use super::test_routes::test_routes;

/// The target time to the first event on each route, in milliseconds.
pub(crate) const TARGET_MS: u64 = 300;

/// The service of the model engines.
pub(crate) const MODEL_SERVICE: &str = "knots";

/// The service of the plain endpoints.
pub(crate) const PLAIN_SERVICE: &str = "orders";

/// A simple encoding for tests: each header and JSON field is named for the field that it carries.
pub(crate) struct TestWire;

impl WireFormat for TestWire {
    fn decode_request(&self, parts: &Parts) -> Result<CallerRequest, DecodeError> {
        let text = |name: &str| {
            parts
                .headers
                .get(name)
                .and_then(|value| value.to_str().ok())
        };
        let Some(id) = text("request") else {
            return Err(DecodeError::new("request", "no identifier"));
        };
        Ok(CallerRequest {
            id: id.to_owned(),
            deadline_ms: text("wait").and_then(|text| text.parse().ok()),
            key: text("key").map(str::to_owned),
            last_event: text("after").map(str::to_owned),
            size: RequestSize {
                prompt_tokens: text("tokens").map_or(100, |text| text.parse().unwrap()),
                max_output_tokens: 100,
                output_estimate: None,
            },
            shared_parts: text("parts").map_or_else(Vec::new, shared_parts),
        })
    }

    fn encode_request_headers(&self, headers: &HeaderMap, call: &EngineCall<'_>) -> HeaderMap {
        let mut passed = headers.clone();
        for name in ["key", "content-length", "connection"] {
            passed.remove(name);
        }
        let mut set = |name: &'static str, value: String| {
            let value = HeaderValue::from_str(&value).unwrap();
            passed.insert(HeaderName::from_static(name), value);
        };
        set("expected", call.expected_id.to_owned());
        if let Some(account) = call.account {
            set("account", account.to_owned());
        }
        if let Some(event) = call.last_event {
            set("after", event.to_owned());
        }
        let ids: Vec<&str> = call.chain.iter().map(|part| part.id.as_str()).collect();
        set("chain", ids.join(","));
        passed
    }

    fn decode_response_head(&self, _status: u16, headers: &HeaderMap) -> ResponseHead {
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        ResponseHead {
            request: text("request").map(str::to_owned),
            is_not_run: headers.contains_key("not-run"),
            is_signed: headers.contains_key("signature"),
            fault_address: text("fault").map(str::to_owned),
            is_leaving: headers.contains_key("leaving"),
            retry_after: text("pause").map(|text| RetryAfter::Delay(text.parse().unwrap())),
        }
    }

    fn caller_response_headers(&self, headers: &HeaderMap) -> HeaderMap {
        let mut passed = headers.clone();
        passed.remove("transfer-encoding");
        passed.remove("connection");
        passed
    }

    fn refusal_headers(&self, _request: &str, retry_after_ms: Option<u64>) -> HeaderMap {
        let mut headers = HeaderMap::new();
        if let Some(millis) = retry_after_ms {
            headers.insert("retry-after", HeaderValue::from(millis));
        }
        headers
    }

    fn encode_report_request(&self, engine: &str) -> EncodedCall {
        check_panic(PanicPoint::Orders);
        meant_for(engine, call("GET", "/state".to_owned(), Bytes::new()))
    }

    fn decode_report(&self, body: &[u8]) -> Result<EngineReport, DecodeError> {
        let doc = parse(body)?;
        Ok(EngineReport {
            layers: range(&doc),
            is_busy: false,
            order_count: doc["orders"].as_u64().unwrap_or(0),
            requests: 0,
            used_units: 0.0,
            slowness: 1.0,
            stalled_on: serde_json::from_value(doc["stalled"].clone()).unwrap_or_default(),
        })
    }

    fn encode_order(&self, order: &EngineOrder<'_>) -> EncodedCall {
        let body = json!({
            "first": order.layers.first,
            "end": order.layers.end,
            "orders": order.expected_count,
        });
        meant_for(
            order.engine,
            call("POST", "/hold".to_owned(), body.to_string().into()),
        )
    }

    fn decode_order_answer(&self, status: u16) -> OrderAnswer {
        match status {
            202 => OrderAnswer::Begun,
            409 | 421 => OrderAnswer::Conflict,
            _ => OrderAnswer::Refused,
        }
    }

    fn encode_store_call(&self, store_call: &StoreCall) -> EncodedCall {
        if matches!(store_call, StoreCall::Write(write) if write.table == StoreTable::Members) {
            check_panic(PanicPoint::Peers);
        }
        match store_call {
            StoreCall::Read { table, .. } => {
                call("GET", format!("/{}", table_name(*table)), Bytes::new())
            }
            StoreCall::Watch {
                table,
                version,
                wait_ms,
            } => {
                let path = format!("/{}/{version}/{wait_ms}", table_name(*table));
                call("GET", path, Bytes::new())
            }
            StoreCall::Write(write) => {
                let value = String::from_utf8_lossy(&write.value).into_owned();
                let body = json!({
                    "key": write.key, "value": value, "expected": write.expected_version,
                });
                let path = format!("/{}", table_name(write.table));
                call("POST", path, body.to_string().into())
            }
        }
    }

    fn decode_store_reply(
        &self,
        store_call: &StoreCall,
        status: u16,
        headers: &HeaderMap,
        body: &[u8],
    ) -> Result<StoreReply, DecodeError> {
        if status == 409 {
            return Ok(StoreReply::Conflict);
        }
        if status == 410 {
            return Ok(StoreReply::HistoryLost);
        }
        if status != 200 {
            return Ok(StoreReply::Unavailable { status });
        }
        let doc = parse(body)?;
        let store_ms = doc["now"].as_u64().unwrap_or(0);
        let era = headers.get("era").map_or("0", |era| era.to_str().unwrap());
        let version = doc["version"].as_u64().unwrap_or(0);
        let version = StoreVersion::new(era.parse().unwrap(), version);
        if matches!(store_call, StoreCall::Write(_)) {
            return Ok(StoreReply::Written { version, store_ms });
        }
        let rows = doc["rows"].as_array().cloned().unwrap_or_default();
        let row = |row: &Value| StoreRow {
            key: row["key"].as_str().unwrap_or_default().to_owned(),
            value: row["value"].as_str().map(|text| text.as_bytes().to_vec()),
            version: row["version"].as_u64().unwrap_or(0),
        };
        Ok(StoreReply::Rows {
            rows: rows.iter().map(row).collect(),
            has_more: false,
            version,
            store_ms,
        })
    }

    fn decode_config(&self, rows: &[StoreRow]) -> Result<Option<RelayConfig>, DecodeError> {
        check_panic(PanicPoint::Config);
        let Some(value) = rows.last().and_then(|row| row.value.as_deref()) else {
            return Ok(None);
        };
        let doc = parse(value)?;
        let keys = doc["keys"].as_array().cloned().unwrap_or_default();
        let keys = keys
            .iter()
            .filter_map(|key| key.as_str().map(str::to_owned));
        Ok(Some(RelayConfig {
            version: doc["version"].as_u64().unwrap_or(0),
            routes: test_routes(&doc),
            services: vec![
                service(MODEL_SERVICE, Some(shape())),
                service(PLAIN_SERVICE, None),
            ],
            accounts: vec![RelayAccount {
                name: "rope".to_owned(),
                keys: keys.collect(),
                priority: None,
            }],
            limits: caller_limits(&doc),
        }))
    }

    fn decode_engine(&self, row: &StoreRow) -> Result<EngineRecord, DecodeError> {
        check_panic(PanicPoint::Listing);
        let doc = parse(row.value.as_deref().unwrap_or_default())?;
        let text = |name: &str| doc[name].as_str().unwrap_or_default().to_owned();
        Ok(EngineRecord {
            id: row.key.clone(),
            service: text("service"),
            address: text("address")
                .parse()
                .map_err(|error| DecodeError::new("listing", error))?,
            zone: doc["zone"].as_str().unwrap_or("a").to_owned(),
            is_draining: doc["draining"].as_bool().unwrap_or(false),
            slots: doc["slots"].as_u64().unwrap_or(8) as u32,
            kind: Some("large".to_owned()),
            layers: range(&doc),
            started_ms: 1,
        })
    }
}

/// Returns the parts of a comma-separated list but the last one.
fn shared_parts(list: &str) -> Vec<String> {
    let mut parts: Vec<String> = list.split(',').map(str::to_owned).collect();
    parts.pop();
    parts
}

fn call(method: &'static str, path: String, body: Bytes) -> EncodedCall {
    EncodedCall {
        method,
        path,
        headers: HeaderMap::new(),
        body,
    }
}

fn meant_for(engine: &str, mut call: EncodedCall) -> EncodedCall {
    call.headers.insert("expected", engine.parse().unwrap());
    call
}

fn parse(body: &[u8]) -> Result<Value, DecodeError> {
    serde_json::from_slice(body).map_err(|error| DecodeError::new("document", error))
}

/// Returns the default limits with the document's time-out of idle connections, if it has one.
fn caller_limits(doc: &Value) -> CallerLimits {
    let mut limits = CallerLimits::default();
    if let Some(header_bytes) = doc["headers"].as_u64() {
        limits.header_bytes = header_bytes as usize;
    }
    match doc["idle"].as_u64() {
        Some(idle_timeout_ms) => CallerLimits {
            header_timeout_ms: idle_timeout_ms,
            idle_timeout_ms,
            ..limits
        },
        None => limits,
    }
}

fn range(doc: &Value) -> LayerRange {
    let layer = |name: &str| doc[name].as_u64().unwrap_or(0) as u16;
    LayerRange::new(layer("first"), layer("end"))
}

fn table_name(table: StoreTable) -> &'static str {
    match table {
        StoreTable::Config => "config",
        StoreTable::Engines => "engines",
        StoreTable::Members => "members",
        StoreTable::Leases => "leases",
        StoreTable::Eras => "eras",
        StoreTable::Crashes => "crashes",
    }
}

fn service(name: &str, model: Option<ModelShape>) -> RelayService {
    RelayService {
        name: name.to_owned(),
        max_connections: 100,
        model,
    }
}

fn shape() -> ModelShape {
    ModelShape {
        name: "knots-70b".to_owned(),
        layers: 40,
        layer_mb: 1_000.0,
        token_bytes: 900_000.0,
        slots: 8,
        step_ms: 1.0,
        sequence_ms: 0.01,
        context_ms: 0.01,
        read_per_ms: 100.0,
        chunk_tokens: 512.0,
        pass_steps: 1.0,
        load_ms: 100.0,
        activation_bytes: 40_000.0,
        pipe_mbps: 10_000.0,
        usual_prompt: 100.0,
        usual_answer: 100.0,
        kinds: vec![AcceleratorKind {
            name: "large".to_owned(),
            memory_mb: 50_000.0,
            step_factor: 1.0,
            read_factor: 1.0,
        }],
    }
}
