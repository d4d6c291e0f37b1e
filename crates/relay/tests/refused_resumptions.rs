//! Guards against refusals of requests that engines with room would take: a refusal of one request, or a silence that
//! has ended, must not close an engine to the others.

mod relay_support;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use dandelionroad_relay::node::RunningNode;
use rand::Rng;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use tokio::task::spawn_local;

use crate::relay_support::ReadResponse;
use crate::relay_support::World;
use crate::relay_support::fake_engine::EVENTS;
use crate::relay_support::fake_engine::EngineFault;
use crate::relay_support::fake_engine::FakeEngine;
use crate::relay_support::fake_engine::event_bytes;
use crate::relay_support::run;
use crate::relay_support::wait_for;

const ENGINES: usize = 8;
const CALLERS: usize = 16;

/// The number of requests that an engine runs at a time; the awake engines have room for all callers.
const SLOTS: u64 = 64;

/// The duration of a play.
const PLAY: Duration = Duration::from_secs(10);

/// The length of a silence, in milliseconds.
const SILENCE_MS: std::ops::Range<u64> = 800..1_600;

/// The time between the starts of two silences, in milliseconds.
const SILENCE_INTERVAL_MS: std::ops::Range<u64> = 1_000..2_000;

/// The number of resumed streams for which an engine draws in advance whether it refuses them.
const RESUMPTIONS: usize = 1_000;

/// The answers to the requests of a play.
#[derive(Debug, Default)]
struct PlayCounts {
    answered: Cell<u32>,
    refused: Cell<u32>,
    cut: Cell<u32>,
}

/// Sends a stream whose engine takes about a second for its events, with 20 seconds until its deadline.
async fn send_stream(world: &World, node: &RunningNode, id: &str) -> ReadResponse {
    let headers = [
        ("host", "shop.example"),
        ("key", "k1"),
        ("request", id),
        ("wait", "20000"),
        ("work", "1000"),
    ];
    world
        .get(node.settings().caller_address, "/model/a", &headers)
        .await
}

fn all_events() -> Vec<u8> {
    (1..=EVENTS).flat_map(event_bytes).collect()
}

async fn send_streams(world: &World, node: &RunningNode, caller: usize, counts: &PlayCounts) {
    let start = Instant::now();
    let mut number = 0;
    while start.elapsed() < PLAY {
        number += 1;
        let answer = send_stream(world, node, &format!("c{caller}r{number}")).await;
        let count = match answer.status {
            200 if answer.is_complete && answer.body == all_events() => &counts.answered,
            503 => &counts.refused,
            _ => &counts.cut,
        };
        count.set(count.get() + 1);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Lets half of the engines fall silent at a time.
async fn mute_halves(engines: Vec<Rc<FakeEngine>>, mut random: ChaCha8Rng) {
    let mut order: Vec<usize> = (0..engines.len()).collect();
    loop {
        order.shuffle(&mut random);
        for index in &order[..engines.len() / 2] {
            let length = Duration::from_millis(random.random_range(SILENCE_MS));
            engines[*index].fall_mute(length);
        }
        let pause = Duration::from_millis(random.random_range(SILENCE_INTERVAL_MS));
        tokio::time::sleep(pause).await;
    }
}

/// Plays callers beside engines of which half are silent at a time, and which refuse a share of the resumed streams.
async fn play_silences(refused_share: f64, seed: u64) -> Rc<PlayCounts> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let world = Rc::new(World::start().await);
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        let engine = world.start_engine(&format!("e{number}"), (0, 40)).await;
        engine.slots.set(SLOTS);
        engine.hold_layers((0, 40));
        let refusals = (0..RESUMPTIONS).map(|_| random.random_bool(refused_share));
        engine.resumption_refusals.replace(refusals.collect());
        engines.push(engine);
    }
    let node = Rc::new(world.start_node("n1").await);
    let silences = spawn_local(mute_halves(engines, random));
    let counts = Rc::new(PlayCounts::default());
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (world, node) = (Rc::clone(&world), Rc::clone(&node));
            let counts = Rc::clone(&counts);
            spawn_local(async move { send_streams(&world, &node, caller, &counts).await })
        })
        .collect();
    for caller in callers {
        caller.await.unwrap();
    }
    silences.abort();
    counts
}

/// Guards against new requests that are refused because engines have turned resumed streams away, or have been silent
/// before. At most one request in twenty may be refused while half of the engines are awake and have room.
#[test]
fn new_requests_are_served_beside_refused_resumptions() {
    std::thread::scope(|scope| {
        for (refused_share, seed) in [(0.0, 1), (0.2, 2), (0.5, 3), (0.5, 4), (1.0, 5)] {
            scope.spawn(move || run(check_play(refused_share, seed)));
        }
    });
}

async fn check_play(refused_share: f64, seed: u64) {
    let counts = play_silences(refused_share, seed).await;
    println!("{refused_share} refused, seed {seed}: {counts:?}");
    let refused = counts.refused.get();
    let total = counts.answered.get() + refused + counts.cut.get();
    assert_eq!(counts.cut.get(), 0, "{refused_share} refused, seed {seed}");
    assert!(
        refused * 20 <= total,
        "{refused} of {total}, {refused_share} refused, seed {seed}"
    );
}

/// Guards against requests that are refused because all engines are silent for a second, although their deadlines are
/// far away and the silence ends before.
#[test]
fn new_requests_wait_for_silent_engines() {
    run(async {
        let world = Rc::new(World::start().await);
        let engine = world.start_engine("e1", (0, 40)).await;
        engine.slots.set(SLOTS);
        engine.hold_layers((0, 40));
        let node = Rc::new(world.start_node("n1").await);
        let mut callers = Vec::new();
        let mut send = |id: &str| {
            let (world, node, id) = (Rc::clone(&world), Rc::clone(&node), id.to_owned());
            callers.push(spawn_local(
                async move { send_stream(&world, &node, &id).await },
            ));
        };
        send("standing");
        wait_for("the stream stands", async || {
            !engine.runs.borrow().is_empty()
        })
        .await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        engine.fall_mute(Duration::from_millis(1_000));
        while engine.is_mute() {
            tokio::time::sleep(Duration::from_millis(60)).await;
            send("r");
        }
        for (number, caller) in callers.into_iter().enumerate() {
            let answer = caller.await.unwrap();
            assert_eq!(answer.status, 200, "request {number}");
            assert_eq!(answer.body, all_events(), "request {number}");
        }
    });
}

/// Guards against small requests that wait behind a large one that all engines have refused, although they would be
/// taken.
#[test]
fn small_requests_pass_refused_large_one() {
    run(async {
        let world = Rc::new(World::start().await);
        for id in ["e1", "e2"] {
            let engine = world.start_engine(id, (0, 40)).await;
            engine.slots.set(SLOTS);
            engine.hold_layers((0, 40));
            engine.refused_tokens.set(Some(2_000));
        }
        let node = Rc::new(world.start_node("n1").await);
        let send = |id: String, tokens: &'static str| {
            let (world, node) = (Rc::clone(&world), Rc::clone(&node));
            spawn_local(async move {
                let headers = [
                    ("host", "shop.example"),
                    ("key", "k1"),
                    ("request", id.as_str()),
                    ("wait", "20000"),
                    ("tokens", tokens),
                ];
                let start = Instant::now();
                let answer = world
                    .get(node.settings().caller_address, "/model/a", &headers)
                    .await;
                (answer.status, start.elapsed())
            })
        };
        send("first".to_owned(), "3000").await.unwrap();
        let large = send("large".to_owned(), "3000");
        tokio::time::sleep(Duration::from_millis(50)).await;
        let small: Vec<_> = (0..5)
            .map(|number| send(format!("small{number}"), "100"))
            .collect();
        let mut answers = Vec::new();
        for answer in small {
            answers.push(answer.await.unwrap());
        }
        println!("small: {answers:?}, large: {:?}", large.await.unwrap());
        for (status, elapsed) in answers {
            assert_eq!(status, 200);
            // An answer takes some 200 ms.
            assert!(elapsed < Duration::from_millis(400), "{elapsed:?}");
        }
    });
}

/// The last engine of a chain is silent and no request is there any more. Guards against requests that wait for it
/// although it has answered again: they ask it themselves.
#[test]
fn waiting_requests_probe_silent_engine() {
    run(async {
        let world = Rc::new(World::start().await);
        let first = world.start_engine("e1", (0, 20)).await;
        let second = world.start_engine("e2", (20, 40)).await;
        let node = Rc::new(world.start_node("n1").await);
        first.fault.set(EngineFault::Hanging);
        first.waits_for.set(Some(second.address()));
        second.fall_mute(Duration::from_millis(1_000));
        let standing = {
            let (world, node) = (Rc::clone(&world), Rc::clone(&node));
            spawn_local(async move { send_stream(&world, &node, "standing").await })
        };
        tokio::time::sleep(Duration::from_millis(600)).await;
        standing.abort();
        first.fault.set(EngineFault::None);
        first.waits_for.set(None);
        let answer = send_stream(&world, &node, "next").await;
        assert_eq!(answer.status, 200);
        assert_eq!(answer.body, all_events());
    });
}
