//! Guards against requests that are refused, or sent twice, because the first packet of a connection to their engine
//! was lost. A listener whose queue is full loses these packets.

mod relay_support;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

use crate::relay_support::World;
use crate::relay_support::read_head;
use crate::relay_support::run;
use crate::relay_support::test_wire::MODEL_SERVICE;
use crate::relay_support::test_wire::PLAIN_SERVICE;

/// The time from the arrival of a request at the relay until the engine accepts connections.
const BUSY_TIME: Duration = Duration::from_millis(60);

/// An engine whose listener has a full queue.
struct BusyEngine {
    listener: TcpListener,
    queued: Vec<TcpStream>,
    /// The number of requests that it has read.
    requests: Rc<Cell<u32>>,
}

impl BusyEngine {
    /// Starts an engine and registers it.
    async fn start(world: &World, service: &str, layers: (u64, u64)) -> BusyEngine {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let listener = socket.listen(0).unwrap();
        let address = listener.local_addr().unwrap();
        let mut queued = Vec::new();
        let wait = Duration::from_millis(100);
        while let Ok(stream) = tokio::time::timeout(wait, TcpStream::connect(address)).await {
            queued.push(stream.unwrap());
        }
        let doc = json!({
            "service": service, "address": address.to_string(), "draining": false,
            "first": layers.0, "end": layers.1,
        });
        world.store.put("engines", "e1", &doc);
        BusyEngine {
            listener,
            queued,
            requests: Rc::default(),
        }
    }

    /// Accepts all connections, and answers the requests on them.
    async fn serve(self) {
        drop(self.queued);
        loop {
            let (stream, _) = self.listener.accept().await.unwrap();
            let requests = Rc::clone(&self.requests);
            spawn_local(async move { answer(stream, &requests).await });
        }
    }
}

/// Answers a request with one event, if there is a request on the connection.
async fn answer(mut stream: TcpStream, requests: &Cell<u32>) {
    let head = read_head(&mut stream).await;
    let Some(id) = head.lines().find_map(|line| line.strip_prefix("request: ")) else {
        return;
    };
    requests.set(requests.get() + 1);
    let body = "id: 1\ndata: token 1\n\n";
    let response = format!(
        "HTTP/1.1 200 OK\r\nrequest: {id}\r\nsignature: e1\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(response.as_bytes()).await.unwrap();
}

/// The only engine accepts connections some time after the request has come. Guards against a refusal
/// although the engine is sound, and against a request that is sent on more than one connection.
#[test]
fn request_is_served_after_lost_first_packet() {
    for (path, service, layers) in [
        ("/once/book", PLAIN_SERVICE, (0, 0)),
        ("/any/stock", PLAIN_SERVICE, (0, 0)),
        ("/model/a", MODEL_SERVICE, (0, 40)),
    ] {
        run(async {
            let world = World::start().await;
            let engine = BusyEngine::start(&world, service, layers).await;
            let node = world.start_node("n1").await;
            let requests = Rc::clone(&engine.requests);
            spawn_local(async move {
                tokio::time::sleep(BUSY_TIME).await;
                engine.serve().await;
            });
            let answer = world.send(&node, path, "r1").await;
            assert_eq!(answer.status, 200, "{path}: {answer:?}");
            assert!(answer.is_complete, "{path}: {answer:?}");
            // The system sends the first packet of a connection again after a second.
            tokio::time::sleep(Duration::from_millis(1_200)).await;
            assert_eq!(requests.get(), 1, "{path}: requests at the engine");
        });
    }
}

/// Guards against a request that waits until its deadline for an engine that accepts no connection.
#[test]
fn request_is_refused_without_connection() {
    run(async {
        let world = World::start().await;
        let engine = BusyEngine::start(&world, PLAIN_SERVICE, (0, 0)).await;
        let node = world.start_node("n1").await;
        let start = Instant::now();
        let answer = world.send(&node, "/once/book", "r1").await;
        assert_eq!(answer.status, 503, "{answer:?}");
        assert!(start.elapsed() < Duration::from_secs(2), "{answer:?}");
        assert_eq!(engine.requests.get(), 0);
    });
}
