use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

use super::fake_store::FakeStore;

/// The bytes that a [`RawEngine`] sends for each request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RawAnswer {
    /// Sent first; `{id}` stands for the identifier of the request.
    pub(crate) start: &'static str,
    /// Sent again and again until the connection is closed.
    pub(crate) filler: &'static str,
    /// The pause after each filler.
    pub(crate) pause: Duration,
}

/// An engine that sends bytes without end, whatever the protocol says.
pub(crate) struct RawEngine {
    /// The number of bytes that it has sent, those in the buffers of the system included.
    pub(crate) sent_bytes: Cell<usize>,
    /// The number of connections on which it is still sending.
    pub(crate) open_answers: Cell<u32>,
}

impl RawEngine {
    /// Starts an engine and registers it.
    pub(crate) async fn start(
        store: &Rc<FakeStore>,
        id: &str,
        service: &str,
        layers: (u64, u64),
        answer: RawAnswer,
    ) -> Rc<RawEngine> {
        let engine = Rc::new(RawEngine {
            sent_bytes: Cell::new(0),
            open_answers: Cell::new(0),
        });
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address: SocketAddr = listener.local_addr().unwrap();
        let own = Rc::clone(&engine);
        spawn_local(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let engine = Rc::clone(&own);
                spawn_local(async move { engine.serve(stream, answer).await });
            }
        });
        let doc = json!({
            "service": service, "address": address.to_string(), "draining": false,
            "first": layers.0, "end": layers.1,
        });
        store.put("engines", id, &doc);
        engine
    }

    async fn serve(&self, mut stream: TcpStream, answer: RawAnswer) {
        let mut head = Vec::new();
        while !head.windows(4).any(|bytes| bytes == b"\r\n\r\n") {
            let mut buffer = [0; 1_024];
            match stream.read(&mut buffer).await {
                Ok(length) if length > 0 => head.extend_from_slice(&buffer[..length]),
                _ => return,
            }
        }
        let head = String::from_utf8(head).unwrap();
        let id = head.lines().find_map(|line| line.strip_prefix("request: "));
        let start = answer.start.replace("{id}", id.unwrap_or_default());
        self.open_answers.set(self.open_answers.get() + 1);
        // The other side closes the connection.
        let _ = self.send_forever(&mut stream, &start, answer).await;
        self.open_answers.set(self.open_answers.get() - 1);
    }

    async fn send_forever(
        &self,
        stream: &mut TcpStream,
        start: &str,
        answer: RawAnswer,
    ) -> std::io::Result<()> {
        stream.write_all(start.as_bytes()).await?;
        let filler = match answer.pause.is_zero() {
            // Larger writes reach a limit in bytes sooner.
            true => answer.filler.repeat(4_096),
            false => answer.filler.to_owned(),
        };
        loop {
            stream.write_all(filler.as_bytes()).await?;
            self.sent_bytes.set(self.sent_bytes.get() + filler.len());
            match answer.pause.is_zero() {
                true => tokio::task::yield_now().await,
                false => tokio::time::sleep(answer.pause).await,
            }
        }
    }
}
