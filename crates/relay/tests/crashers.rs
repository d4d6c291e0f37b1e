//! Guards against a request that crashes one engine after the other because relay processes and its caller
//! retry it, and against refusing requests that merely ran at the same time.

mod relay_support;

use crate::relay_support::World;
use crate::relay_support::fake_engine::CRASH_PATH;
use crate::relay_support::fake_engine::EngineFault;
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
