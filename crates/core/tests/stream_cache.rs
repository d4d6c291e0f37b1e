//! Reuse of a stage's cache in a new attempt and of a cache imported from another engine.
//!
//! Guards against answers computed from a cache of other tokens, layers or model versions. This can
//! happen when a stage misses an attempt in which an engine samples another token. The random
//! schedules of `stream_faults` rarely reach these cases.

use dandelionroad_core::ident::AccountName;
use dandelionroad_core::ident::EndpointName;
use dandelionroad_core::ident::ModelName;
use dandelionroad_core::ident::RequestIdent;
use dandelionroad_core::stream::CacheExport;
use dandelionroad_core::stream::ChainRoute;
use dandelionroad_core::stream::LayerRange;
use dandelionroad_core::stream::RouteStage;
use dandelionroad_core::stream::StageLimits;
use dandelionroad_core::stream::StageMachine;
use dandelionroad_core::stream::StepInput;
use dandelionroad_core::stream::StepMessage;
use dandelionroad_core::stream::StepPayload;
use dandelionroad_core::stream::StepReply;
use dandelionroad_core::stream::StreamOrder;
use dandelionroad_core::time::MilliTime;

const NOW: MilliTime = MilliTime::from_millis(0);

fn order(attempt: u32, sent: &[&str]) -> StreamOrder {
    let stage = |name: &str, first, end| RouteStage {
        endpoint: EndpointName::parse(name).unwrap(),
        address: name.to_owned(),
        range: LayerRange::new(first, end),
    };
    StreamOrder {
        request: RequestIdent::parse("request").unwrap(),
        attempt,
        account: AccountName::parse("account").unwrap(),
        weight: 1,
        priority: 0,
        model: ModelName::parse("model").unwrap(),
        version: 1,
        fingerprint: String::new(),
        suspect: false,
        route: ChainRoute {
            stages: vec![stage("head", 0, 4), stage("last", 4, 8)],
        },
        prompt: "prompt".to_owned(),
        sent: sent.iter().map(|token| (*token).to_owned()).collect(),
        max_tokens: 8,
        deadline_in_ms: 1_000,
    }
}

fn open(stage: usize, order: StreamOrder) -> StageMachine {
    let own = order.route.stages[stage].endpoint.clone();
    let limits = StageLimits {
        step_deadline_ms: 500,
        is_whole_model: false,
    };
    StageMachine::open(&own, limits, order, stage, NOW)
        .unwrap()
        .0
}

fn message(order: StreamOrder, tokens: &[&str]) -> StepMessage {
    let inputs = tokens
        .iter()
        .enumerate()
        .map(|(position, token)| StepInput {
            position: position as u32,
            token: (*token).to_owned(),
            payload: StepPayload::Activation(format!("after {token}")),
        });
    StepMessage {
        request: order.request.clone(),
        attempt: order.attempt,
        stage: 1,
        order: Some(order),
        inputs: inputs.collect(),
    }
}

#[test]
fn handle_push_keeps_known_tokens_only() {
    let mut last = open(1, order(0, &[]));
    let (reply, _) = last.handle_push(message(order(0, &[]), &["", "a"]), NOW);
    assert_eq!(reply, StepReply::Accepted);
    // The tokens are the same, so the cache is kept.
    let (reply, _) = last.handle_push(message(order(1, &["a"]), &[]), NOW);
    assert_eq!(reply, StepReply::Gap { expected: 2 });
    // An engine sampled another token in attempts without this stage, so the cache is discarded.
    let (reply, _) = last.handle_push(message(order(4, &["b"]), &[]), NOW);
    assert_eq!(reply, StepReply::Gap { expected: 0 });
}

#[test]
fn reopen_missed_attempt_drops_tokens() {
    let mut head = open(0, order(0, &[]));
    head.handle_returned_token(0, 0, "a".to_owned(), None, NOW);
    let kept = head.clone().reopen(order(1, &[]), NOW);
    assert!(format!("{kept:?}").contains("text: \"a\""));
    // Another head may have sent a different token in attempt 1.
    let dropped = head.reopen(order(2, &[]), NOW);
    assert!(!format!("{dropped:?}").contains("text: \"a\""));
}

#[test]
fn import_cache_accepts_matching_only() {
    let payload = |text: &str| StepPayload::Activation(text.to_owned());
    let good = CacheExport {
        model: ModelName::parse("model").unwrap(),
        version: 1,
        range: LayerRange::new(4, 8),
        tokens: vec!["a".to_owned()],
        inputs: vec![payload("0"), payload("1")],
        outputs: vec![payload("x"), payload("y")],
        end: None,
    };
    let is_imported =
        |export: CacheExport| open(1, order(3, &["a"])).import_cache(export).is_some();
    assert!(is_imported(good.clone()));
    let mut other = good.clone();
    other.tokens = vec!["b".to_owned()];
    assert!(!is_imported(other));
    let mut other = good.clone();
    other.range = LayerRange::new(3, 8);
    assert!(!is_imported(other));
    let mut other = good.clone();
    other.version = 2;
    assert!(!is_imported(other));
    let mut ahead = good;
    ahead.tokens.push("c".to_owned());
    ahead.inputs.push(payload("2"));
    ahead.outputs.push(payload("z"));
    assert!(!is_imported(ahead));
}
