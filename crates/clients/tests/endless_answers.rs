//! Guards against answers of outside systems that never end: they must not fill the memory of the process
//! until the deadline.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use dandelionroad_clients::HttpLink;
use dandelionroad_clients::PlatformError;
use dandelionroad_clients::engine::EngineClient;
use dandelionroad_clients::engine::GenerateOrder;
use dandelionroad_clients::engine::HttpEngine;
use futures_util::StreamExt;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// The deadline of the calls in milliseconds; an answer without end must fail long before.
const DEADLINE_MS: u64 = 60_000;

/// The maximum number of bytes that an endless answer may send: the limit of a body, and the buffers of two
/// sockets.
const MAX_SENT_BYTES: usize = 32 * 1024 * 1024;

/// Starts a server that answers each request with a body without length that never ends; returns its URL
/// and the number of bytes that it has sent.
async fn start_endless_server(filler: &'static str) -> (String, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let sent_bytes = Arc::new(AtomicUsize::new(0));
    let sent = Arc::clone(&sent_bytes);
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 4_096];
        let _ = stream.read(&mut request).await.unwrap();
        let head = b"HTTP/1.1 200 OK\r\n\r\n";
        stream.write_all(head).await.unwrap();
        let filler = filler.repeat(4_096);
        // The client closes the connection.
        while stream.write_all(filler.as_bytes()).await.is_ok() {
            sent.fetch_add(filler.len(), Ordering::Relaxed);
        }
    });
    (url, sent_bytes)
}

#[tokio::test]
async fn link_body_without_end_is_given_up() {
    let (url, sent_bytes) = start_endless_server("xxxxxxxxxxxxxxxx").await;
    let link = HttpLink::new("store", &url, Duration::from_millis(DEADLINE_MS));
    let answer = link.send("GET", "/row", &[], Bytes::new()).await;
    let error = answer.unwrap_err();
    assert!(matches!(error, PlatformError::Indeterminate { .. }));
    let sent_bytes = sent_bytes.load(Ordering::Relaxed);
    assert!(sent_bytes <= MAX_SENT_BYTES, "{sent_bytes} bytes");
}

#[tokio::test]
async fn engine_state_without_end_is_given_up() {
    let (url, sent_bytes) = start_endless_server("                ").await;
    let engine = HttpEngine::new(&url, DEADLINE_MS);
    assert!(engine.state().await.is_err());
    let sent_bytes = sent_bytes.load(Ordering::Relaxed);
    assert!(sent_bytes <= MAX_SENT_BYTES, "{sent_bytes} bytes");
}

#[tokio::test]
async fn engine_line_without_end_is_given_up() {
    let (url, sent_bytes) = start_endless_server("data: xxxxxxxxxx").await;
    let engine = HttpEngine::new(&url, DEADLINE_MS);
    let order: GenerateOrder = serde_json::from_value(serde_json::json!({
        "session": "s", "prompt": "p", "resume": [], "max_tokens": 4, "priority": 0,
    }))
    .unwrap();
    let mut tokens = engine.generate(&order).await.unwrap();
    assert!(tokens.next().await.unwrap().is_err());
    assert!(tokens.next().await.is_none());
    let sent_bytes = sent_bytes.load(Ordering::Relaxed);
    assert!(sent_bytes <= MAX_SENT_BYTES, "{sent_bytes} bytes");
}
