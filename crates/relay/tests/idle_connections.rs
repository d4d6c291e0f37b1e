//! Guards against connections of callers that are closed although the configuration in force lets them stay idle.

mod relay_support;

use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::relay_support::World;
use crate::relay_support::fake_engine::EngineSilence;
use crate::relay_support::read_head;
use crate::relay_support::run;
use crate::relay_support::wait_for;

/// The time-out of idle connections in the first configuration, in milliseconds.
const FIRST_IDLE_MS: u64 = 500;

/// The time-out of idle connections in the second configuration, in milliseconds.
const SECOND_IDLE_MS: u64 = 3_000;

fn configure(world: &World, version: u64, idle_ms: u64) {
    let doc = json!({ "version": version, "keys": ["k1"], "idle": idle_ms });
    world.store.put("config", "config", &doc);
}

/// Sends a call on an open connection; returns whether it was answered with success.
async fn is_call_served(stream: &mut TcpStream, id: &str) -> bool {
    let head = format!(
        "GET /any/stock HTTP/1.1\r\nhost: shop.example\r\nkey: k1\r\nrequest: {id}\r\n\r\n"
    );
    if stream.write_all(head.as_bytes()).await.is_err() {
        return false;
    }
    let mut answer = Vec::new();
    let mut buffer = [0; 1_024];
    // The fake endpoint's body.
    while !answer.ends_with(b"done") {
        match stream.read(&mut buffer).await {
            Ok(length) if length > 0 => answer.extend_from_slice(&buffer[..length]),
            _ => return false,
        }
    }
    answer.starts_with(b"HTTP/1.1 200 ")
}

/// A configuration raises the time for which connections may stay idle. Guards against a connection that was opened
/// before and is closed by the earlier limit, under the request of a caller that keeps to the new one.
#[test]
fn connection_keeps_to_raised_idle_timeout() {
    run(async {
        let world = World::start().await;
        let _endpoint = world.start_endpoint("p1").await;
        configure(&world, 1, FIRST_IDLE_MS);
        let node = world.start_node("n1").await;
        let mut stream = TcpStream::connect(node.settings().caller_address)
            .await
            .unwrap();
        assert!(is_call_served(&mut stream, "r1").await);
        configure(&world, 2, SECOND_IDLE_MS);
        wait_for("the configuration is in force", async || {
            world
                .has_metric_line(&node, "dandelionroad_config_version 2")
                .await
        })
        .await;
        // Four fifths of the limit is the longest time after which callers use a connection again.
        tokio::time::sleep(Duration::from_millis(SECOND_IDLE_MS * 4 / 5)).await;
        assert!(is_call_served(&mut stream, "r2").await);
    });
}

/// Guards against idle connections that stay open without end, also if the limit was lowered while they were open.
#[test]
fn connection_is_closed_by_lowered_idle_timeout() {
    run(async {
        let world = World::start().await;
        let _endpoint = world.start_endpoint("p1").await;
        configure(&world, 1, 60_000);
        let node = world.start_node("n1").await;
        let mut stream = TcpStream::connect(node.settings().caller_address)
            .await
            .unwrap();
        assert!(is_call_served(&mut stream, "r1").await);
        let idle_since = Instant::now();
        configure(&world, 2, FIRST_IDLE_MS);
        let mut buffer = [0; 64];
        let read = tokio::time::timeout(Duration::from_secs(20), stream.read(&mut buffer)).await;
        let length = read.expect("the connection is closed").unwrap_or_default();
        assert_eq!(length, 0);
        assert!(idle_since.elapsed() >= Duration::from_millis(FIRST_IDLE_MS));
    });
}

/// Guards against a connection that is closed by the idle time-out while the head of a request is received.
#[test]
fn head_across_idle_timeout_is_served() {
    run(async {
        let world = World::start().await;
        let _endpoint = world.start_endpoint("p1").await;
        configure(&world, 1, SECOND_IDLE_MS);
        let node = world.start_node("n1").await;
        let mut stream = TcpStream::connect(node.settings().caller_address)
            .await
            .unwrap();
        assert!(is_call_served(&mut stream, "r1").await);
        tokio::time::sleep(Duration::from_millis(SECOND_IDLE_MS * 4 / 5)).await;
        stream
            .write_all(b"GET /any/stock HTTP/1.1\r\n")
            .await
            .unwrap();
        tokio::time::sleep(Duration::from_millis(SECOND_IDLE_MS * 2 / 5)).await;
        let rest = b"host: shop.example\r\nkey: k1\r\nrequest: r2\r\n\r\n";
        stream.write_all(rest).await.unwrap();
        assert!(read_head(&mut stream).await.starts_with("HTTP/1.1 200 "));
    });
}

/// Guards against a connection that is closed by the idle time-out while its request is served.
#[test]
fn request_longer_than_idle_timeout_is_served() {
    run(async {
        let world = World::start().await;
        let endpoint = world.start_endpoint("p1").await;
        endpoint.silence.set(Some(EngineSilence {
            after_event: 0,
            duration: Duration::from_millis(FIRST_IDLE_MS * 5),
        }));
        configure(&world, 1, FIRST_IDLE_MS);
        let node = world.start_node("n1").await;
        let mut stream = TcpStream::connect(node.settings().caller_address)
            .await
            .unwrap();
        assert!(is_call_served(&mut stream, "r1").await);
        // The time that the request took is no idle time.
        tokio::time::sleep(Duration::from_millis(FIRST_IDLE_MS * 4 / 5)).await;
        assert!(is_call_served(&mut stream, "r2").await);
    });
}

/// Guards against callers that keep connections open by sending heads without end.
#[test]
fn endless_head_is_cut() {
    run(async {
        let world = World::start().await;
        configure(&world, 1, FIRST_IDLE_MS);
        let node = world.start_node("n1").await;
        let mut stream = TcpStream::connect(node.settings().caller_address)
            .await
            .unwrap();
        let begun = Instant::now();
        stream
            .write_all(b"GET /any/stock HTTP/1.1\r\n")
            .await
            .unwrap();
        let mut buffer = [0; 64];
        let closed = async {
            loop {
                let pause = Duration::from_millis(100);
                match tokio::time::timeout(pause, stream.read(&mut buffer)).await {
                    Ok(_) => break,
                    // A failed write means that the connection is closed.
                    Err(_) => drop(stream.write_all(b"x: y\r\n").await),
                }
            }
        };
        let closed = tokio::time::timeout(Duration::from_secs(20), closed).await;
        assert!(closed.is_ok(), "the connection is closed");
        assert!(begun.elapsed() >= Duration::from_millis(FIRST_IDLE_MS));
    });
}
