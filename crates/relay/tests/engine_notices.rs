//! Guards against requests to an engine that has said in its answers that it leaves, or that it wants none for a time,
//! whatever the list of engines says.

mod relay_support;

use std::time::Duration;
use std::time::Instant;

use crate::relay_support::World;
use crate::relay_support::run;
use crate::relay_support::wait_for;

/// A model route and a route of a plain service.
const PATHS: [&str; 2] = ["/model/a", "/any/stock"];

/// The list still shows the engine as ready. Its answers are passed on, and no later request reaches it.
#[test]
fn leaving_engine_gets_no_further_requests() {
    for path in PATHS {
        run(async {
            let world = World::start().await;
            let start = async |id| match path {
                "/model/a" => world.start_engine(id, (0, 40)).await,
                _ => world.start_endpoint(id).await,
            };
            let leaving = start("e1").await;
            leaving.is_leaving.set(true);
            let node = world.start_node("n1").await;
            let first = world.send(&node, path, "r1").await;
            assert_eq!(first.status, 200, "{path}");
            let start_time = Instant::now();
            let refused = world.send(&node, path, "r2").await;
            assert_eq!(refused.status, 503, "{path}: it has not run");
            assert!(refused.headers.contains_key("retry-after"), "{path}");
            assert!(start_time.elapsed() < Duration::from_millis(1_000));
            let staying = start("e2").await;
            wait_for("the other engine is known", async || {
                world.knows_engines(&node, 1).await
            })
            .await;
            // The row of an engine changes with each heartbeat.
            leaving.list(false);
            for request in 0..10 {
                let answer = world.send(&node, path, &format!("s{request}")).await;
                assert_eq!(answer.status, 200, "{path}");
            }
            assert_eq!(leaving.runs.borrow().len(), 1, "{path}");
            assert_eq!(staying.runs.borrow().len(), 10, "{path}");
            let line = "dandelionroad_engines_leaving 1";
            assert!(world.has_metric_line(&node, line).await, "{path}");
        });
    }
}

/// The registration of the engine lapses and comes back while it runs on, as after an outage of the store.
#[test]
fn leaving_engine_is_known_after_its_row_lapsed() {
    run(async {
        let world = World::start().await;
        let leaving = world.start_endpoint("p1").await;
        leaving.is_leaving.set(true);
        let node = world.start_node("n1").await;
        assert_eq!(world.send(&node, "/any/stock", "r1").await.status, 200);
        world.store.remove("engines", "p1");
        wait_for("the list is empty", async || {
            let line = "dandelionroad_engines_leaving 0";
            world.has_metric_line(&node, line).await
        })
        .await;
        leaving.list(false);
        wait_for("the endpoint is listed again", async || {
            let line = "dandelionroad_engines_leaving 1";
            world.has_metric_line(&node, line).await
        })
        .await;
        assert_eq!(world.send(&node, "/any/stock", "r2").await.status, 503);
        assert_eq!(leaving.runs.borrow().len(), 1);
    });
}

/// The engine turns requests away and wants none for a time; it is the only one.
#[test]
fn paused_engine_gets_no_requests_until_its_pause_ends() {
    const PAUSE: Duration = Duration::from_millis(1_500);
    for path in PATHS {
        run(async {
            let world = World::start().await;
            let engine = match path {
                "/model/a" => world.start_engine("e1", (0, 40)).await,
                _ => world.start_endpoint("e1").await,
            };
            let node = world.start_node("n1").await;
            engine.pause_ms.set(Some(PAUSE.as_millis() as u64));
            let start = Instant::now();
            let first = world.send(&node, path, "r1").await;
            assert_eq!(first.status, 503, "{path}");
            assert_eq!(engine.paused_arrivals.get(), 1, "{path}");
            engine.pause_ms.set(None);
            let mut refused = 0;
            while start.elapsed() < PAUSE {
                let sent = Instant::now();
                let answer = world.send(&node, path, &format!("r{}", refused + 2)).await;
                if start.elapsed() >= PAUSE {
                    break;
                }
                refused += 1;
                assert_eq!(answer.status, 503, "{path}: it has not run");
                assert!(engine.runs.borrow().is_empty(), "{path}");
                // Nothing can serve it in time, so it does not wait.
                assert!(sent.elapsed() < Duration::from_millis(100), "{path}");
                let retry_ms = answer.headers["retry-after"].to_str().unwrap();
                let retry_ms: u64 = retry_ms.parse().unwrap();
                let left = PAUSE.saturating_sub(sent.elapsed() + (sent - start));
                assert!(
                    retry_ms + 100 >= left.as_millis() as u64,
                    "{path}: {retry_ms} ms"
                );
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            assert!(refused > 5, "{path}: {refused} requests");
            wait_for("the engine serves again", async || {
                world.send(&node, path, "again").await.status == 200
            })
            .await;
            assert!(start.elapsed() < 2 * PAUSE, "{path}: {:?}", start.elapsed());
        });
    }
}

/// Another endpoint takes the requests meanwhile. The endpoint's own word counts rather than the two seconds for which
/// a failed one is avoided.
#[test]
fn paused_engine_is_used_after_its_pause() {
    const AVOIDED: Duration = Duration::from_millis(2_000);
    run(async {
        let world = World::start().await;
        let paused = world.start_endpoint("p1").await;
        let other = world.start_endpoint("p2").await;
        paused.pause_ms.set(Some(500));
        let node = world.start_node("n1").await;
        let send = async || {
            let answer = world.send(&node, "/any/stock", "r1").await;
            assert_eq!(answer.status, 200, "the other endpoint serves it");
        };
        wait_for("the endpoint asks for a pause", async || {
            send().await;
            paused.paused_arrivals.get() == 1
        })
        .await;
        let start = Instant::now();
        paused.pause_ms.set(None);
        wait_for("the endpoint serves again", async || {
            send().await;
            !paused.runs.borrow().is_empty()
        })
        .await;
        assert!(start.elapsed() < AVOIDED, "{:?}", start.elapsed());
        assert!(!other.runs.borrow().is_empty());
    });
}
