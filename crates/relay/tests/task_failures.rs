//! Guards against a background task that panics while the process goes on as ready without it: it would follow
//! the configuration, the list of engines or the other processes no longer, or give no orders.

mod relay_support;

use dandelionroad_relay::node::RunningNode;

use crate::relay_support::World;
use crate::relay_support::panic_point::PanicPoint;
use crate::relay_support::panic_point::set_panic_point;
use crate::relay_support::run;
use crate::relay_support::wait_for;

async fn has_failed(world: &World, node: &RunningNode, task: &str) -> bool {
    let line = format!("dandelionroad_task_failures_total{{task=\"{task}\"}} 2");
    world.has_metric_line(node, &line).await
}

#[test]
fn config_task_restarts() {
    run(async {
        let world = World::start().await;
        let _engine = world.start_engine("e1", (0, 40)).await;
        let node = world.start_node("n1").await;
        set_panic_point(Some(PanicPoint::Config));
        world.configure(2, &["k2"]);
        wait_for("the task has failed twice", async || {
            has_failed(&world, &node, "config").await
        })
        .await;
        set_panic_point(None);
        world.configure(3, &["k3"]);
        wait_for("the newest configuration is in force", async || {
            world
                .has_metric_line(&node, "dandelionroad_config_version 3")
                .await
        })
        .await;
    });
}

#[test]
fn listing_task_restarts() {
    run(async {
        let world = World::start().await;
        let _engine = world.start_engine("e1", (0, 40)).await;
        let node = world.start_node("n1").await;
        set_panic_point(Some(PanicPoint::Listing));
        wait_for("the task has failed twice", async || {
            has_failed(&world, &node, "listing").await
        })
        .await;
        set_panic_point(None);
        let _second = world.start_engine("e2", (0, 40)).await;
        wait_for("the second engine is known", async || {
            world.knows_engines(&node, 2).await
        })
        .await;
    });
}

#[test]
fn order_task_restarts() {
    run(async {
        let world = World::start().await;
        set_panic_point(Some(PanicPoint::Orders));
        let _engine = world.start_engine("e1", (0, 0)).await;
        let node = world.start_node("n1").await;
        wait_for("the task has failed twice", async || {
            has_failed(&world, &node, "orders").await
        })
        .await;
        set_panic_point(None);
        wait_for("a request is served", async || {
            world.send(&node, "/model/a", "r1").await.status == 200
        })
        .await;
    });
}

#[test]
fn peer_task_restarts() {
    run(async {
        let world = World::start().await;
        set_panic_point(Some(PanicPoint::Peers));
        let nodes = [world.start_node("n1").await, world.start_node("n2").await];
        for node in &nodes {
            wait_for("the task has failed twice", async || {
                has_failed(&world, node, "peers").await
            })
            .await;
        }
        set_panic_point(None);
        for node in &nodes {
            wait_for("both processes are live", async || {
                world
                    .has_metric_line(node, "dandelionroad_processes_live 2")
                    .await
            })
            .await;
        }
    });
}
