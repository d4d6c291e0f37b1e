//! Guards against heads of requests that are judged by a limit that is no longer in force.

mod relay_support;

use std::time::Duration;

use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::relay_support::World;
use crate::relay_support::read_head;
use crate::relay_support::run;
use crate::relay_support::wait_for;

fn configure(world: &World, version: u64, header_bytes: u64) {
    let doc = json!({ "version": version, "keys": ["k1"], "headers": header_bytes });
    world.store.put("config", "config", &doc);
}

/// Sends a request without a route, with a filler header of the given size; returns the status line.
async fn send_head(stream: &mut TcpStream, filler_bytes: usize) -> String {
    let filler = "x".repeat(filler_bytes);
    let head = format!(
        "GET /none HTTP/1.1\r\nhost: shop.example\r\nkey: k1\r\nrequest: r1\r\nfiller: {filler}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let answer = tokio::time::timeout(Duration::from_secs(5), read_head(stream)).await;
    let answer = answer.expect("the request is answered");
    answer.lines().next().unwrap_or_default().to_owned()
}

/// Guards against a connection that keeps to the limit that was in force when it was opened.
#[test]
fn raised_limit_holds_on_open_connection() {
    run(async {
        let world = World::start().await;
        configure(&world, 1, 16_384);
        let node = world.start_node("n1").await;
        let mut stream = TcpStream::connect(node.settings().caller_address)
            .await
            .unwrap();
        assert_eq!(send_head(&mut stream, 100).await, "HTTP/1.1 404 Not Found");
        configure(&world, 2, 65_536);
        wait_for("the configuration is in force", async || {
            let line = "dandelionroad_config_version 2";
            world.has_metric_line(&node, line).await
        })
        .await;
        assert_eq!(
            send_head(&mut stream, 32_768).await,
            "HTTP/1.1 404 Not Found"
        );
    });
}

/// Guards against a lowered limit that isn't in force on open connections.
#[test]
fn lowered_limit_holds_on_open_connection() {
    run(async {
        let world = World::start().await;
        configure(&world, 1, 65_536);
        let node = world.start_node("n1").await;
        let mut stream = TcpStream::connect(node.settings().caller_address)
            .await
            .unwrap();
        assert_eq!(
            send_head(&mut stream, 32_768).await,
            "HTTP/1.1 404 Not Found"
        );
        configure(&world, 2, 16_384);
        wait_for("the configuration is in force", async || {
            let line = "dandelionroad_config_version 2";
            world.has_metric_line(&node, line).await
        })
        .await;
        let line = send_head(&mut stream, 32_768).await;
        assert!(line.starts_with("HTTP/1.1 431 "), "{line}");
    });
}
