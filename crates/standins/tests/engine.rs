//! The engine stand-ins, called through the engine client.
//!
//! Guards against stand-ins that answer correctly although a step is skipped, repeated or out of
//! order, or that do not show an injected fault: the tests of the router would then pass without
//! checking anything.

use dandelionroad_clients::PlatformError;
use dandelionroad_clients::engine::EngineClient;
use dandelionroad_clients::engine::EngineOrder;
use dandelionroad_clients::engine::EngineStep;
use dandelionroad_clients::engine::GenerateOrder;
use dandelionroad_clients::engine::GeneratedToken;
use dandelionroad_clients::engine::HttpEngine;
use dandelionroad_clients::engine::StepOutput;
use dandelionroad_core::stream::LayerRange;
use dandelionroad_core::stream::StepPayload;
use dandelionroad_standins::engine::CacheEvent;
use dandelionroad_standins::engine::EngineFaults;
use dandelionroad_standins::engine::EngineOptions;
use dandelionroad_standins::engine::EngineStandin;
use dandelionroad_standins::engine::TokenModel;
use futures_util::StreamExt;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

const LAYERS: u16 = 12;
const PROMPT: &str = "how do I splice a hawser [length=6]";

async fn start(options: EngineOptions) -> (EngineStandin, HttpEngine) {
    let standin = EngineStandin::start(options).await.unwrap();
    let client = HttpEngine::new(&standin.url(), 2_000);
    (standin, client)
}

async fn start_range(first: u16, end: u16) -> (EngineStandin, HttpEngine) {
    start(EngineOptions::layer_range(
        "knots",
        LayerRange::new(first, end),
    ))
    .await
}

fn step(position: u32, first: u16, end: u16, payload: StepPayload) -> EngineStep {
    EngineStep {
        session: "a".to_owned(),
        position,
        range: LayerRange::new(first, end),
        is_last: end == LAYERS,
        payload,
    }
}

fn order(prompt: &str, resume: &[String]) -> GenerateOrder {
    GenerateOrder {
        session: "a".to_owned(),
        prompt: prompt.to_owned(),
        resume: resume.to_vec(),
        max_tokens: 6,
        priority: 0,
    }
}

async fn generate(
    client: &HttpEngine,
    order: &GenerateOrder,
) -> Vec<Result<GeneratedToken, PlatformError>> {
    client.generate(order).await.unwrap().collect().await
}

/// Runs one position through two stages, of which the first runs the layers below `cut`.
async fn run_chain(
    (head, cut, last): (&HttpEngine, u16, &HttpEngine),
    position: u32,
    text: &str,
) -> StepOutput {
    let input = StepPayload::Text(text.to_owned());
    let output = head.step(&step(position, 0, cut, input)).await.unwrap();
    let input = step(position, cut, LAYERS, output.payload);
    last.step(&input).await.unwrap()
}

fn text(output: &StepOutput) -> &str {
    match &output.payload {
        StepPayload::Text(text) => text,
        StepPayload::Activation(_) => panic!("expected text from the last layer"),
    }
}

/// Guards against tokens that depend on where a chain of engines is split: a test then could not
/// compute the expected answer.
#[tokio::test]
async fn step_split_ranges_give_the_model_answer() {
    let (_head_standin, head) = start_range(0, 8).await;
    let (_last_standin, last) = start_range(4, LAYERS).await;
    for cut in [4, 8] {
        let mut input = PROMPT.to_owned();
        let mut tokens = Vec::new();
        loop {
            let position = tokens.len() as u32;
            let output = run_chain((&head, cut, &last), position, &input).await;
            input = text(&output).to_owned();
            tokens.push(input.clone());
            if output.is_end {
                break;
            }
        }
        assert_eq!(tokens, TokenModel::new(1, LAYERS).answer(PROMPT, 99));
        head.cancel("a").await.unwrap();
        last.cancel("a").await.unwrap();
    }
}

/// Guards against an engine that runs a step with a repeated or skipped position, or with other
/// layers than those of its session.
#[tokio::test]
async fn step_out_of_order_is_rejected() {
    let (standin, client) = start_range(0, LAYERS).await;
    let input = || StepPayload::Text(PROMPT.to_owned());
    client.step(&step(0, 0, LAYERS, input())).await.unwrap();
    for (position, first) in [(0, 0), (2, 0), (1, 4)] {
        let rejected = client.step(&step(position, first, LAYERS, input())).await;
        let is_conflict = matches!(rejected, Err(PlatformError::Rejected { status: 409, .. }));
        assert!(is_conflict, "position {position}: {rejected:?}");
    }
    assert_eq!(standin.step_records().len(), 1);
    assert_eq!(standin.stats().rejected_steps, 3);
}

/// Guards against a resumed answer that starts over, or that differs from the uninterrupted one.
#[tokio::test]
async fn generate_resumed_continues_the_answer() {
    let (_standin, client) = start(EngineOptions::whole_model("knots", LAYERS)).await;
    let answer = TokenModel::new(1, LAYERS).answer(PROMPT, 6);
    for resumed in [0, 4] {
        let tokens = generate(&client, &order(PROMPT, &answer[..resumed])).await;
        let tokens: Vec<GeneratedToken> = tokens.into_iter().map(Result::unwrap).collect();
        let texts: Vec<&str> = tokens.iter().map(|token| token.text.as_str()).collect();
        assert_eq!(texts, answer[resumed..]);
        assert_eq!(tokens[0].position, resumed as u32);
        assert!(tokens.last().unwrap().is_end);
    }
}

/// Guards against a cut stream whose last token looks like the end of the answer.
#[tokio::test]
async fn generate_cut_stream_has_no_end() {
    let mut options = EngineOptions::whole_model("knots", LAYERS);
    options.faults.cut_after = Some(2);
    let (_standin, client) = start(options).await;
    let tokens = generate(&client, &order(PROMPT, &[])).await;
    assert_eq!(tokens.len(), 2);
    assert!(!tokens[1].as_ref().unwrap().is_end);
}

/// Guards against a crash that keeps sessions, or that the reported start time does not show.
#[tokio::test]
async fn crash_marked_prompt_loses_sessions_and_restarts() {
    let mut options = EngineOptions::layer_range("knots", LayerRange::new(0, LAYERS));
    options.restart_ms = 20;
    let (standin, client) = start(options).await;
    let input = StepPayload::Text(PROMPT.to_owned());
    client.step(&step(0, 0, LAYERS, input)).await.unwrap();
    let before = client.state().await.unwrap().started;
    let mut marked = step(0, 0, LAYERS, StepPayload::Text("[crash]".to_owned()));
    marked.session = "b".to_owned();
    let lost = client.step(&marked).await;
    assert!(
        matches!(lost, Err(PlatformError::Indeterminate { .. })),
        "{lost:?}"
    );
    let mut state = client.state().await;
    while state.is_err() {
        tokio::task::yield_now().await;
        state = client.state().await;
    }
    assert!(state.unwrap().started > before);
    let next = step(1, 0, LAYERS, StepPayload::Text("x".to_owned()));
    assert!(client.step(&next).await.is_err());
    assert_eq!(standin.stats().crashes, 1);
}

/// Guards against a frozen engine that runs or answers a step, or drops it so that it is never
/// answered.
#[tokio::test]
async fn step_frozen_engine_answers_once_unfrozen() {
    let (standin, client) = start_range(0, LAYERS).await;
    let frozen = EngineFaults {
        frozen: true,
        ..EngineFaults::default()
    };
    standin.set_faults(frozen);
    let input = step(0, 0, LAYERS, StepPayload::Text(PROMPT.to_owned()));
    let mut answer = client.step(&input);
    // The statistics are served while the engine is frozen, so three requests for them bound the
    // wait.
    let stats_url = format!("{}/engine/stats", standin.url());
    tokio::select! {
        biased;
        early = &mut answer => panic!("the frozen engine answered: {early:?}"),
        _ = async { for _ in 0..3 { request("GET", &stats_url, "").await; } } => {}
    }
    assert!(standin.step_records().is_empty());
    standin.set_faults(EngineFaults::default());
    answer.await.unwrap();
}

/// Guards against a stale load order that replaces a newer one, except on an engine that ignores
/// fencing tokens.
#[tokio::test]
async fn order_stale_fence_is_rejected_or_ignored() {
    for ignore_fence in [false, true] {
        let mut options = EngineOptions::whole_model("knots", LAYERS);
        options.faults.ignore_fence = ignore_fence;
        let (_standin, client) = start(options).await;
        let load = |version| EngineOrder::Load {
            model: "knots".to_owned(),
            version,
            weights: "knots".to_owned(),
            first_layer: 0,
            end_layer: LAYERS,
        };
        client.send_order(&load(2), 7).await.unwrap();
        assert_eq!(client.send_order(&load(3), 6).await.is_ok(), ignore_fence);
        let expected = if ignore_fence { 3 } else { 2 };
        assert_eq!(client.state().await.unwrap().version, expected);
    }
}

/// Guards against an exported cache that lacks state, so that the importing engine computes other
/// tokens.
#[tokio::test]
async fn cache_export_continues_on_another_engine() {
    let (first_standin, first) = start_range(0, LAYERS).await;
    let (second_standin, second) = start_range(0, LAYERS).await;
    let answer = TokenModel::new(1, LAYERS).answer(PROMPT, 2);
    let input = StepPayload::Text(PROMPT.to_owned());
    first.step(&step(0, 0, LAYERS, input)).await.unwrap();
    let export = request(
        "GET",
        &format!("{}/engine/cache/a", first_standin.url()),
        "",
    )
    .await;
    request(
        "PUT",
        &format!("{}/engine/cache/a", second_standin.url()),
        &export,
    )
    .await;
    let input = StepPayload::Text(answer[0].clone());
    let output = second.step(&step(1, 0, LAYERS, input)).await.unwrap();
    assert_eq!(text(&output), answer[1]);
}

/// Guards against cache events that arrive although they are to be lost, and against a repeated
/// prompt that is computed again in spite of the prefix cache.
#[tokio::test]
async fn cache_events_are_lost_and_repeated_prompts_cached() {
    let mut options = EngineOptions::whole_model("knots", LAYERS);
    options.event_loss_interval = 2;
    options.cache_blocks = 2;
    let (standin, client) = start(options).await;
    let prompt = vec!["word"; 64].join(" ");
    generate(&client, &order(&prompt, &[])).await;
    let short = vec!["word"; 32].join(" ");
    generate(&client, &order(&short, &[])).await;
    generate(&client, &order(&short, &[])).await;
    let events = request(
        "GET",
        &format!("{}/engine/events?after=1", standin.url()),
        "",
    )
    .await;
    let events: Vec<CacheEvent> = serde_json::from_str(&events).unwrap();
    let numbers: Vec<u64> = events.iter().map(|event| event.number).collect();
    assert_eq!(numbers, [3, 5, 7, 9]);
    assert!(!events[1].stored);
    assert_eq!(standin.stats().cached_tokens, 32);
}

async fn request(method: &str, url: &str, body: &str) -> String {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let request = hyper::Request::builder()
        .method(method)
        .uri(url)
        .header("content-type", "application/json")
        .body(Full::<bytes::Bytes>::from(body.to_owned()))
        .unwrap();
    let response = client.request(request).await.unwrap();
    assert!(response.status().is_success(), "{}", response.status());
    let body = response.into_body().collect().await.unwrap().to_bytes();
    String::from_utf8(body.to_vec()).unwrap()
}
