//! Guards against placement orders that reach another engine than the one they are meant for.

mod relay_support;

use std::time::Duration;

use serde_json::json;

use crate::relay_support::World;
use crate::relay_support::run;
use crate::relay_support::test_wire::MODEL_SERVICE;
use crate::relay_support::wait_for;

/// The list still has the row of an engine that has ended, and its address belongs to an engine of another service by
/// now, which the ordered layers may crash.
#[test]
fn order_does_not_reach_another_engine_at_the_address() {
    run(async {
        let world = World::start().await;
        let other = world.start_endpoint("p1").await;
        let ended = json!({
            "service": MODEL_SERVICE, "address": other.address().to_string(), "draining": false, "first": 0,
            "end": 0,
        });
        world.store.put("engines", "e1", &ended);
        let node = world.start_node("n1").await;
        wait_for("the order was sent and not taken", async || {
            assert_eq!(
                other.layers(),
                (0, 0),
                "the other engine has taken an order"
            );
            let line = "dandelionroad_orders_total{result=\"conflict\"} 1";
            world.has_metric_line(&node, line).await
        })
        .await;
        // An order that was not taken is not repeated as if its outcome were unknown.
        let engine = world.start_engine("e2", (0, 0)).await;
        wait_for("the order reaches its engine", async || {
            engine.layers() == (0, 40)
        })
        .await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        assert_eq!(other.layers(), (0, 0));
    });
}
