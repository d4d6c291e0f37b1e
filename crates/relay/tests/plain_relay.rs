//! Guards against calls that run twice, responses of other requests that reach a caller, and refusals
//! that claim that a request has not run when it may have.

mod relay_support;

use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;

use crate::relay_support::World;
use crate::relay_support::fake_engine::EngineFault;
use crate::relay_support::run;
use crate::relay_support::wait_for;

/// The response to a call that may run only once is lost, or belongs to another request: a retry could run
/// the call twice.
#[test]
fn at_most_once_call_is_not_retried() {
    for fault in [EngineFault::LostAnswer, EngineFault::Foreign] {
        run(async {
            let world = World::start().await;
            let engines = [
                world.start_endpoint("p1").await,
                world.start_endpoint("p2").await,
            ];
            for engine in &engines {
                engine.fault.set(fault);
            }
            let node = world.start_node("n1").await;
            let answer = world.send(&node, "/once/book", "r1").await;
            // 502 leaves open whether the call has run; 503 would guarantee that it has not.
            assert_eq!(answer.status, 502, "{fault:?}");
            let runs: usize = engines
                .iter()
                .map(|engine| engine.runs.borrow().len())
                .sum();
            assert_eq!(runs, 1, "{fault:?}");
        });
    }
}

/// A full endpoint guarantees that it has not run the call, so another endpoint may run it.
#[test]
fn refused_at_most_once_call_is_sent_elsewhere() {
    run(async {
        let world = World::start().await;
        let engines = [
            world.start_endpoint("p1").await,
            world.start_endpoint("p2").await,
        ];
        engines[0].fault.set(EngineFault::Full);
        let node = world.start_node("n1").await;
        for request in 0..4 {
            let answer = world
                .send(&node, "/once/book", &format!("r{request}"))
                .await;
            assert_eq!(
                (answer.status, answer.body.as_slice()),
                (200, b"done".as_slice())
            );
        }
        assert!(engines[0].runs.borrow().is_empty());
    });
}

/// The error of an endpoint that ran the call is the call's result and must reach the caller.
#[test]
fn at_most_once_call_failure_is_forwarded() {
    run(async {
        let world = World::start().await;
        let engine = world.start_endpoint("p1").await;
        engine.fault.set(EngineFault::Failing);
        let node = world.start_node("n1").await;
        let answer = world.send(&node, "/once/book", "r1").await;
        assert_eq!(
            (answer.status, answer.body.as_slice()),
            (500, b"failed".as_slice())
        );
        assert_eq!(answer.headers["signature"], "p1");
    });
}

/// Whatever goes wrong at one endpoint, an idempotent call is served by the other.
#[test]
fn idempotent_call_is_retried_elsewhere() {
    for fault in [
        EngineFault::LostAnswer,
        EngineFault::Foreign,
        EngineFault::Failing,
        EngineFault::Full,
        EngineFault::Silent,
    ] {
        run(async {
            let world = World::start().await;
            let engines = [
                world.start_endpoint("p1").await,
                world.start_endpoint("p2").await,
            ];
            engines[0].fault.set(fault);
            let node = world.start_node("n1").await;
            for request in 0..3 {
                let answer = world
                    .send(&node, "/any/stock", &format!("r{request}"))
                    .await;
                assert_eq!(answer.status, 200, "{fault:?}");
                assert_eq!(answer.headers["signature"], "p2", "{fault:?}");
            }
        });
    }
}

#[test]
fn call_without_endpoint_is_refused_at_once() {
    run(async {
        let world = World::start().await;
        let node = world.start_node("n1").await;
        let answer = world.send(&node, "/any/stock", "r1").await;
        assert_eq!(answer.status, 503);
        assert!(answer.headers.contains_key("retry-after"));
    });
}

/// A request without an identifier, with a missing or unknown key, or without a route must not reach an
/// endpoint.
#[test]
fn call_denied_by_configuration() {
    run(async {
        let world = World::start().await;
        let engine = world.start_endpoint("p1").await;
        let node = world.start_node("n1").await;
        let callers = node.settings().caller_address;
        let host = ("host", "shop.example");
        let status = async |path: &str, headers: &[(&str, &str)]| {
            world.get(callers, path, headers).await.status
        };
        assert_eq!(status("/any/x", &[host, ("key", "k1")]).await, 400);
        assert_eq!(status("/any/x", &[host, ("request", "r1")]).await, 401);
        assert_eq!(
            status("/any/x", &[host, ("request", "r1"), ("key", "k2")]).await,
            401
        );
        assert_eq!(
            status("/no/x", &[host, ("request", "r1"), ("key", "k1")]).await,
            404
        );
        let other = ("host", "other.example");
        assert_eq!(
            status("/any/x", &[other, ("request", "r1"), ("key", "k1")]).await,
            404
        );
        assert!(engine.runs.borrow().is_empty());
    });
}

/// A call arrives late in a planned stop and may take longer than the process has left. Guards against admitting
/// it, as it would be run and then cut, so that its caller never learns the outcome.
#[test]
fn stop_refuses_call_that_may_outlast_it() {
    run(async {
        let world = Rc::new(World::start().await);
        let endpoint = world.start_endpoint("p1").await;
        let node = world.start_node("n1").await;
        let callers = node.settings().caller_address;
        let headers = |id, wait| {
            [
                ("host", "shop.example"),
                ("key", "k1"),
                ("request", id),
                ("wait", wait),
            ]
        };
        // A process ends earlier if it has nothing to do.
        endpoint.fault.set(EngineFault::Hanging);
        let own = Rc::clone(&world);
        let first = spawn_local(async move {
            let headers = headers("r0", "7000");
            own.get(callers, "/once/order", &headers).await
        });
        wait_for("the first call runs", async || {
            !endpoint.runs.borrow().is_empty()
        })
        .await;
        endpoint.fault.set(EngineFault::None);
        let stopping = spawn_local(node.stop());
        tokio::time::sleep(Duration::from_millis(4_000)).await;
        let long = world
            .get(callers, "/once/order", &headers("r1", "4000"))
            .await;
        let short = world
            .get(callers, "/once/order", &headers("r2", "2000"))
            .await;
        assert_eq!(long.status, 503);
        assert_eq!(long.headers["retry-after"], "100");
        assert_eq!(short.status, 200);
        assert_eq!(endpoint.runs.borrow().as_slice(), ["r0", "r2"]);
        first.await.unwrap();
        stopping.await.unwrap();
    });
}
