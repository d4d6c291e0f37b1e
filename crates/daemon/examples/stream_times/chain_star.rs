//! Compares the chain of stages with a star, in which the entry calls each stage.
//!
//! In a chain, each stage pushes its activation to the next one, so that a token costs one link
//! crossing per stage. In a star, each stage returns it to the entry, which costs two.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use dandelionroad_clients::engine::EngineClient;
use dandelionroad_clients::engine::EngineStep;
use dandelionroad_clients::engine::StepOutput;
use dandelionroad_core::stream::LayerRange;
use dandelionroad_core::stream::StepPayload;
use dandelionroad_daemon::node::PeerPool;
use dandelionroad_settings::NodeSettings;
use jsonrpsee::RpcModule;
use jsonrpsee::core::client::ClientT;
use jsonrpsee::rpc_params;
use jsonrpsee::server::ServerBuilder;
use jsonrpsee::types::ErrorObjectOwned;
use tokio::time::Instant;

use super::format_times;
use super::stream_support::EventReader;
use super::stream_support::FakeEngine;
use super::stream_support::LinkProxy;
use super::stream_support::TestCluster;
use super::stream_support::expected_tokens;

const LINK_DELAY: Duration = Duration::from_micros(500);
const TOKENS: u32 = 300;
/// The number of first tokens that are not measured, as they open connections.
const WARM_UP: usize = 10;
/// The model does not end an answer before the requested number of tokens.
const NO_END: u32 = u32::MAX;
const PROMPT: &str = "chain or star";

/// Prints the time between tokens and the writes on the links for each token, for a chain and a star
/// of one and of three stages.
pub(crate) async fn measure() {
    println!(
        "\ntime between tokens, ms, {TOKENS} tokens, link {LINK_DELAY:?} one way, engines without \
         delay; chunks are the writes that crossed the links, acknowledgements and events included"
    );
    println!(
        "{:18} {:>9} {:>9} {:>12}",
        "topology", "median", "worst", "chunks/token"
    );
    let three: [(u16, u16); 3] = [(0, 4), (4, 8), (8, 12)];
    for ranges in [&[(0, 12)][..], &three[..]] {
        print_row("chain", ranges.len(), measure_chain(ranges).await);
        print_row("star", ranges.len(), measure_star(ranges).await);
    }
}

fn print_row(name: &str, stages: usize, (mut times, chunks): (Vec<Duration>, f64)) {
    let times = format_times(&mut times);
    println!(
        "{:18} {times} {chunks:12.2}",
        format!("{name}, {stages} stages")
    );
}

/// Returns the times between tokens and the average number of chunks for each token of a chain.
async fn measure_chain(ranges: &[(u16, u16)]) -> (Vec<Duration>, f64) {
    let cluster = TestCluster::start(ranges, Duration::ZERO, LINK_DELAY, NO_END).await;
    let mut reader = EventReader::new(cluster.complete(PROMPT, TOKENS, true).await);
    let links = cluster.stages.iter().map(|stage| stage.link.clone());
    let links: Vec<Arc<LinkProxy>> = links.collect();
    let mut meter = TokenMeter::default();
    let mut answer = Vec::new();
    while let Some(token) = reader.next_token().await {
        answer.push(token);
        meter.record(&links);
    }
    assert_eq!(answer, expected_tokens(PROMPT, TOKENS));
    meter.result()
}

/// Returns the times between tokens and the average number of chunks for each token of a star.
async fn measure_star(ranges: &[(u16, u16)]) -> (Vec<Duration>, f64) {
    let mut links = Vec::new();
    for _ in ranges {
        links.push(start_star_stage().await);
    }
    let peers = PeerPool::new(NodeSettings::DEFAULT_CLUSTER);
    let mut meter = TokenMeter::default();
    let mut answer: Vec<String> = Vec::new();
    for position in 0..TOKENS {
        let input = answer.last().map_or(PROMPT, String::as_str);
        let mut payload = StepPayload::Text(input.to_owned());
        for (link, (first, end)) in links.iter().zip(ranges) {
            let step = EngineStep {
                session: "star".to_owned(),
                position,
                range: LayerRange::new(*first, *end),
                is_last: *end == 12,
                payload,
            };
            let address = link.address.to_string();
            let client = peers.client(&address).await.expect("the stage is up");
            let output = client.request("run_step", rpc_params![step]).await;
            let output: StepOutput = output.expect("the stage runs the step");
            payload = output.payload;
        }
        let (StepPayload::Text(text) | StepPayload::Activation(text)) = payload;
        answer.push(text);
        meter.record(&links);
    }
    assert_eq!(answer, expected_tokens(PROMPT, TOKENS));
    meter.result()
}

/// Starts the server of one stage, which runs a step when the entry calls it, and returns the link
/// to it.
async fn start_star_stage() -> Arc<LinkProxy> {
    let engine = FakeEngine::new(Duration::ZERO, NO_END);
    let mut methods = RpcModule::new(engine);
    let registered = methods.register_async_method("run_step", async |params, engine, _| {
        let step: EngineStep = params.one()?;
        let output = engine.step(&step).await;
        output.map_err(|error| ErrorObjectOwned::owned(1, error.to_string(), None::<()>))
    });
    registered.expect("the method is new");
    let server = ServerBuilder::default().build("127.0.0.1:0").await;
    let server = server.expect("a free port");
    let address = server.local_addr().expect("a bound port");
    let handle = server.start(methods);
    tokio::spawn(handle.stopped());
    LinkProxy::start(address, LINK_DELAY).await
}

/// Measures the times between tokens and the chunks on the links.
#[derive(Default)]
struct TokenMeter {
    arrivals: Vec<Instant>,
    chunks: Vec<u64>,
}

impl TokenMeter {
    /// Records the arrival of a token.
    fn record(&mut self, links: &[Arc<LinkProxy>]) {
        self.arrivals.push(Instant::now());
        let chunks = links.iter().map(|link| link.chunks.load(Ordering::Relaxed));
        self.chunks.push(chunks.sum());
    }

    /// Returns the times between tokens, and the average number of chunks for each token.
    fn result(&self) -> (Vec<Duration>, f64) {
        let times = self.arrivals[WARM_UP..].windows(2);
        let times: Vec<Duration> = times.map(|pair| pair[1] - pair[0]).collect();
        let last = self.chunks.last().copied().unwrap_or_default();
        let chunks = (last - self.chunks[WARM_UP]) as f64 / times.len() as f64;
        (times, chunks)
    }
}
