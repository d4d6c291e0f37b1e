//! Guards against a request that crashes one engine after the other because relay processes and its caller
//! retry it, and against refusing requests that merely ran at the same time.

mod relay_support;

use dandelionroad_core::relay::EngineCrash;
use dandelionroad_relay::peer::LoadMessage;
use dandelionroad_relay::peer::PeerDatagram;
use tokio::net::UdpSocket;

use crate::relay_support::World;
use crate::relay_support::fake_engine::CRASH_PATH;
use crate::relay_support::fake_engine::EngineFault;
use crate::relay_support::fake_engine::STALL_TIME;
use crate::relay_support::run;
use crate::relay_support::wait_for;

/// A request crashes each engine that starts to run it, and its caller retries it at two processes. Without
/// crash records that the processes share, each retry crashes a further engine.
#[test]
fn crasher_refused_after_two_engines() {
    run(async {
        let world = World::start().await;
        let mut engines = Vec::new();
        for id in ["e1", "e2", "e3", "e4"] {
            let engine = world.start_engine(id, (0, 40)).await;
            engine.fault.set(EngineFault::Crashing);
            engines.push(engine);
        }
        let nodes = [world.start_node("n1").await, world.start_node("n2").await];
        wait_for("both processes are live", async || {
            world
                .has_metric_line(&nodes[0], "dandelionroad_processes_live 2")
                .await
        })
        .await;
        let first = world.send(&nodes[0], CRASH_PATH, "r1").await;
        assert_eq!(first.status, 502, "the request may have run");
        for node in &nodes {
            wait_for("the process knows both crashes", async || {
                world
                    .has_metric_line(node, "dandelionroad_engine_crashes_known 2")
                    .await
            })
            .await;
            for id in ["r2", "r3"] {
                let answer = world.send(node, CRASH_PATH, id).await;
                assert_eq!(answer.status, 503, "the request has not run");
                assert_eq!(answer.body, b"{\"error\":\"crasher\"}");
                assert!(!answer.headers.contains_key("retry-after"), "{answer:?}");
            }
            let other = world.send(node, "/model/other", "r4").await;
            assert_eq!(
                other.status, 200,
                "other requests of the account are served"
            );
        }
        let crashed = engines.iter().filter(|engine| {
            let runs = engine.runs.borrow();
            runs.iter().any(|id| id != "r4")
        });
        assert_eq!(crashed.count(), 2);
    });
}

/// A request crashes the last engine of its chain. The first one gives it up as not run, and names the lost engine
/// (review, case 11). Guards against a request that crashes one engine after the other as it never counts as broken.
#[test]
fn crasher_of_last_engine_is_refused() {
    run(async {
        let world = World::start().await;
        let first = world.start_engine("e0", (0, 20)).await;
        first.fault.set(EngineFault::Stalling);
        let node = world.start_node("n1").await;
        for (index, id) in ["e1", "e2"].into_iter().enumerate() {
            let last = world.start_engine(id, (20, 40)).await;
            first.waits_for.set(Some(last.address()));
            wait_for("the chain is known", async || {
                world
                    .has_metric_line(&node, "dandelionroad_engines_usable 2")
                    .await
            })
            .await;
            let crashing = async {
                wait_for("the request runs", async || {
                    first.runs.borrow().len() == index + 1
                })
                .await;
                tokio::time::sleep(STALL_TIME).await;
                world.store.remove("engines", id);
            };
            let (answer, ()) = tokio::join!(world.send(&node, CRASH_PATH, id), crashing);
            assert_eq!(answer.status, 503, "the request has not run");
            let known = format!("dandelionroad_engine_crashes_known {}", index + 1);
            wait_for("the crash is known", async || {
                world.has_metric_line(&node, &known).await
            })
            .await;
        }
        world.start_engine("e3", (20, 40)).await;
        let answer = world.send(&node, CRASH_PATH, "r3").await;
        assert_eq!(answer.body, b"{\"error\":\"crasher\"}");
        wait_for("other requests are served", async || {
            world.send(&node, "/model/other", "r4").await.status == 200
        })
        .await;
    });
}

/// Engines lose their responses but keep running. The request must not count as the cause of a crash, so a
/// retry by its caller is served.
#[test]
fn lost_answers_are_no_crashes() {
    run(async {
        let world = World::start().await;
        let mut engines = Vec::new();
        for id in ["e1", "e2"] {
            let engine = world.start_engine(id, (0, 40)).await;
            engine.fault.set(EngineFault::LostAnswer);
            engines.push(engine);
        }
        let node = world.start_node("n1").await;
        for id in ["r1", "r2"] {
            let answer = world.send(&node, "/model/a", id).await;
            assert_ne!(answer.status, 200);
        }
        for engine in &engines {
            engine.fault.set(EngineFault::None);
        }
        // Engines with several lost responses in a row are avoided for some seconds.
        let mut attempt = 0;
        wait_for("the request is served", async || {
            attempt += 1;
            let answer = world
                .send(&node, "/model/a", &format!("again-{attempt}"))
                .await;
            assert_ne!(answer.body, b"{\"error\":\"crasher\"}");
            answer.status == 200
        })
        .await;
    });
}

/// A crash becomes known to one of many processes. Each must send it on to a bounded number of others in a
/// round, and all must get it: if every process sent it to all, one crash would cost a message for each pair of
/// processes in each second.
#[test]
fn crash_is_sent_to_bounded_number_at_once() {
    const PROCESSES: usize = 60;
    run(async {
        let world = World::start().await;
        let node = world.start_node("n1").await;
        let target = node.settings().peer_address;
        let mut sockets = Vec::new();
        for _ in 0..PROCESSES {
            let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
            let bytes = load_message(&socket).encode().unwrap();
            socket.send_to(&bytes, target).await.unwrap();
            sockets.push(socket);
        }
        wait_for("all processes are known", async || {
            let line = format!("dandelionroad_processes_live {}", PROCESSES + 1);
            world.has_metric_line(&node, &line).await
        })
        .await;
        let crash = EngineCrash {
            fingerprint: "f1".to_owned(),
            engine: "e1@5".to_owned(),
        };
        let bytes = PeerDatagram::Crashes(vec![crash]).encode().unwrap();
        sockets[0].send_to(&bytes, target).await.unwrap();
        let mut has_crash = vec![false; PROCESSES];
        let mut first_round = None;
        wait_for("all processes have the crash", async || {
            for (socket, has_crash) in sockets.iter().zip(&mut has_crash) {
                *has_crash |= receives_crash(socket);
            }
            let count = has_crash.iter().filter(|known| **known).count();
            if count > 0 {
                first_round.get_or_insert(count);
            }
            count == PROCESSES
        })
        .await;
        assert!(first_round.unwrap() <= 41, "{first_round:?} at once");
    });
}

/// An engine that is lost breaks off more runs than a datagram holds crashes. Guards against reporting the latest ones
/// again and again and the others never: the request at fault may be among them.
#[test]
fn all_crashes_of_an_engine_are_sent() {
    const CRASHES: usize = 60;
    run(async {
        let world = World::start().await;
        let node = world.start_node("n1").await;
        let target = node.settings().peer_address;
        let reporter = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let listener = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        for socket in [&reporter, &listener] {
            let bytes = load_message(socket).encode().unwrap();
            socket.send_to(&bytes, target).await.unwrap();
        }
        wait_for("both are known", async || {
            world
                .has_metric_line(&node, "dandelionroad_processes_live 3")
                .await
        })
        .await;
        for index in 0..CRASHES {
            let crash = EngineCrash {
                fingerprint: format!("f{index}"),
                engine: "e1@5".to_owned(),
            };
            let bytes = PeerDatagram::Crashes(vec![crash]).encode().unwrap();
            reporter.send_to(&bytes, target).await.unwrap();
        }
        let mut known: Vec<String> = Vec::new();
        wait_for("all crashes have arrived", async || {
            let mut buffer = [0; 16_384];
            while let Ok(length) = listener.try_recv(&mut buffer) {
                let message = PeerDatagram::decode(&buffer[..length]).unwrap();
                let PeerDatagram::Crashes(crashes) = message else {
                    continue;
                };
                assert!(length < 2_048, "{length} bytes");
                known.extend(crashes.into_iter().map(|crash| crash.fingerprint));
            }
            known.sort();
            known.dedup();
            known.len() == CRASHES
        })
        .await;
    });
}

/// Returns the load message of a process that serves no request.
fn load_message(socket: &UdpSocket) -> PeerDatagram {
    PeerDatagram::Load(LoadMessage {
        internal: socket.local_addr().unwrap(),
        zone: "a".to_owned(),
        run: 7,
        stamp: 1,
        reaches_store: false,
        capacity: 100,
        listing_age_ms: u32::MAX,
        listing_grace_ms: 0,
        loads: Vec::new(),
        demands: Vec::new(),
    })
}

/// Returns whether a report of crashes has arrived.
fn receives_crash(socket: &UdpSocket) -> bool {
    let mut buffer = [0; 16_384];
    let mut has_crash = false;
    while let Ok(length) = socket.try_recv(&mut buffer) {
        let message = PeerDatagram::decode(&buffer[..length]).unwrap();
        has_crash |= matches!(message, PeerDatagram::Crashes(_));
    }
    has_crash
}
