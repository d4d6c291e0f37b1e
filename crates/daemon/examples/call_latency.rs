//! Measures the latency that the router adds to calls to a plain service, on loopback.
//!
//! Each round sends one booking and one read of the count directly to the stand-in, and one of each
//! through an entry and an endpoint, so that load from other programs affects all four alike. The
//! requests to the table service are counted over a separate series of bookings.
//!
//! `cargo run --release -p dandelionroad-daemon --example call_latency [ROUNDS] [STORE_DELAY_MS]`

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use dandelionroad_core::member::MemberRole;
use dandelionroad_daemon::node::NodeClients;
use dandelionroad_daemon::node::NodeHandle;
use dandelionroad_settings::EngineKind;
use dandelionroad_settings::NodeSettings;
use dandelionroad_standins::booking::BookingStandin;
use dandelionroad_standins::host::HostStandin;
use dandelionroad_standins::object::ObjectStandin;
use dandelionroad_standins::table::TableStandin;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::json;
use sha2::Digest;
use sha2::Sha256;

const DEFAULT_ROUNDS: usize = 1_000;
const WARM_UP_ROUNDS: usize = 50;
const ENDPOINTS: usize = 2;
const SECRET: &str = "rope";
const ADMIN_TOKEN: &str = "admin-token";

/// The nodes, the stand-ins and a client.
struct Bench {
    client: Client<HttpConnector, Full<Bytes>>,
    table: TableStandin,
    booking: BookingStandin,
    _others: (ObjectStandin, HostStandin),
    nodes: Vec<NodeHandle>,
}

impl Bench {
    async fn start(store_delay_ms: u64) -> Bench {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let object = ObjectStandin::start(any_port).await.expect("a free port");
        let hosts = HostStandin::start(any_port).await.expect("a free port");
        let mut bench = Bench {
            client: Client::builder(TokioExecutor::new()).build_http(),
            table: TableStandin::start(any_port).await.expect("a free port"),
            booking: BookingStandin::start(any_port).await.expect("a free port"),
            _others: (object, hosts),
            nodes: Vec::new(),
        };
        bench.start_node(NodeSettings::entry("entry-0")).await;
        for index in 0..ENDPOINTS {
            let (name, url) = (format!("endpoint-{index}"), bench.booking.url());
            let settings = NodeSettings::endpoint(&name, EngineKind::PlainService, &url);
            bench.start_node(settings).await;
        }
        bench.apply_ticket().await;
        bench.wait_ready().await;
        bench
            .table
            .faults()
            .change(|plan| plan.delay_ms = store_delay_ms);
        bench
    }

    async fn start_node(&mut self, settings: NodeSettings) {
        let settings = NodeSettings {
            admin_token: ADMIN_TOKEN.to_owned(),
            table_url: self.table.url(),
            object_url: self._others.0.url(),
            hosts_url: self._others.1.url(),
            seeds: self
                .nodes
                .iter()
                .map(|node| node.internal.to_string())
                .collect(),
            ..settings
        };
        let clients = NodeClients::from_settings(&settings);
        let node = NodeHandle::start(settings, clients).await;
        self.nodes.push(node.expect("free ports and valid names"));
    }

    async fn apply_ticket(&self) {
        let names: Vec<String> = (0..ENDPOINTS)
            .map(|index| format!("endpoint-{index}"))
            .collect();
        let digest = Sha256::digest(SECRET);
        let secret: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
        let ticket = json!({
            "number": 1,
            "services": [{"name": "booking", "idempotent": false, "endpoints": names,
                          "status_path": "/bookings/by-key"}],
            "accounts": [{
                "name": "cordeleria", "secret_sha256": secret, "units_per_second": 1_000_000,
                "burst_units": 1_000_000, "weight": 1, "services": ["booking"],
            }],
        });
        let admin = self.nodes[0].admin.expect("an entry has this listener");
        let url = format!("http://{admin}/admin/v1/tickets");
        self.time_request("POST", &url, ADMIN_TOKEN, "", ticket.to_string())
            .await;
    }

    async fn wait_ready(&self) {
        let context = &self.nodes[0].context;
        let mut config = context.config.subscribe();
        let mut members = context.members.subscribe();
        // The senders live as long as the node, so waiting can't fail.
        let _ = config.wait_for(|config| config.revision > 0).await;
        let _ = members
            .wait_for(|members| members.live(MemberRole::Endpoint).count() == ENDPOINTS)
            .await;
    }

    /// Sends a request and returns the time until the whole answer, in microseconds.
    async fn time_request(
        &self,
        method: &str,
        url: &str,
        secret: &str,
        key: &str,
        body: String,
    ) -> u64 {
        let start = Instant::now();
        let request = Request::builder()
            .method(method)
            .uri(url)
            .header("authorization", format!("Bearer {secret}"))
            .header("content-type", "application/json")
            .header("idempotency-key", key)
            .body(Full::new(Bytes::from(body)))
            .expect("a valid request");
        let response = self.client.request(request).await.expect("an answer");
        let status = response.status();
        let answer = response
            .into_body()
            .collect()
            .await
            .expect("a whole answer");
        assert!(
            status.is_success(),
            "{method} {url}: {status} {:?}",
            answer.to_bytes()
        );
        start.elapsed().as_micros() as u64
    }

    async fn time_booking(&self, base: &str, key: &str) -> u64 {
        let body = r#"{"item":"hawser","quantity":1}"#.to_owned();
        self.time_request("POST", &format!("{base}/book"), SECRET, key, body)
            .await
    }

    async fn time_count_read(&self, base: &str) -> u64 {
        let url = format!("{base}/count");
        let start = Instant::now();
        let request = Request::get(url)
            .header("authorization", format!("Bearer {SECRET}"))
            .body(Full::new(Bytes::new()))
            .expect("a valid request");
        let response = self.client.request(request).await.expect("an answer");
        response
            .into_body()
            .collect()
            .await
            .expect("a whole answer");
        start.elapsed().as_micros() as u64
    }
}

/// Prints quantiles in microseconds and returns the median.
fn print_quantiles(name: &str, times: &mut [u64]) -> u64 {
    times.sort_unstable();
    let quantile = |percent: usize| times[(times.len() - 1) * percent / 100];
    let (p50, p95, p99) = (quantile(50), quantile(95), quantile(99));
    println!("{name:<24} p50 {p50:>7} us  p95 {p95:>7} us  p99 {p99:>7} us");
    p50
}

#[tokio::main]
async fn main() {
    let mut arguments = std::env::args()
        .skip(1)
        .filter_map(|text| text.parse::<u64>().ok());
    let rounds = arguments
        .next()
        .map_or(DEFAULT_ROUNDS, |rounds| rounds as usize)
        .max(1);
    let store_delay_ms = arguments.next().unwrap_or_default();
    let bench = Bench::start(store_delay_ms).await;
    let direct = bench.booking.url();
    let public = bench.nodes[0].public.expect("an entry has this listener");
    let routed = format!("http://{public}/services/booking");
    let mut times = [const { Vec::new() }; 4];
    for round in 0..rounds + WARM_UP_ROUNDS {
        let measured = [
            bench
                .time_booking(&direct, &format!("direct-{round}"))
                .await,
            bench
                .time_booking(&routed, &format!("routed-{round}"))
                .await,
            bench.time_count_read(&direct).await,
            bench.time_count_read(&routed).await,
        ];
        if round >= WARM_UP_ROUNDS {
            times
                .iter_mut()
                .zip(measured)
                .for_each(|(times, time)| times.push(time));
        }
    }
    println!("{rounds} rounds, {ENDPOINTS} endpoints, {store_delay_ms} ms delay of the store");
    let [direct_booking, routed_booking, direct_check, routed_check] = &mut times;
    let direct_median = print_quantiles("booking direct", direct_booking);
    let routed_median = print_quantiles("booking routed", routed_booking);
    println!(
        "booking adds at p50      {} us",
        routed_median.saturating_sub(direct_median)
    );
    let direct_median = print_quantiles("idempotent direct", direct_check);
    let routed_median = print_quantiles("idempotent routed", routed_check);
    println!(
        "idempotent adds at p50   {} us",
        routed_median.saturating_sub(direct_median)
    );

    // The outcome of a booking is recorded after its answer.
    tokio::time::sleep(Duration::from_millis(200 + 10 * store_delay_ms)).await;
    let before = bench.table.counts();
    for round in 0..rounds {
        bench
            .time_booking(&routed, &format!("counted-{round}"))
            .await;
    }
    tokio::time::sleep(Duration::from_millis(200 + 10 * store_delay_ms)).await;
    let after = bench.table.counts();
    let per_booking = |count: u64| count as f64 / rounds as f64;
    println!(
        "store per booking        {:.3} writes, {:.3} reads, with one poll a second of the entry",
        per_booking(after.commits - before.commits),
        per_booking(after.reads - before.reads),
    );
}
