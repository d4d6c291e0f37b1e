use axum::body::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::server_event::ServerEvent;

/// A parser of server-sent events that reads from a response body.
pub(super) struct EventReader {
    body: Incoming,
    buffer: Vec<u8>,
}

impl EventReader {
    /// Creates a reader of `body`.
    pub(super) fn new(body: Incoming) -> EventReader {
        EventReader {
            body,
            buffer: Vec::new(),
        }
    }

    /// Returns the next event, `None` at the end of the body, or the transport error as text.
    pub(super) async fn next(&mut self) -> Result<Option<ServerEvent>, String> {
        loop {
            if let Some(event) = self.take_event() {
                return Ok(Some(event));
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    let data = frame.into_data().unwrap_or_else(|_| Bytes::new());
                    self.buffer.extend_from_slice(&data);
                }
                Some(Err(error)) => return Err(error.to_string()),
                None => return Ok(None),
            }
        }
    }

    fn take_event(&mut self) -> Option<ServerEvent> {
        let end = self.buffer.windows(2).position(|pair| pair == b"\n\n")?;
        let text: Vec<u8> = self.buffer.drain(..end + 2).collect();
        let text = String::from_utf8_lossy(&text);
        let field = |prefix: &str| {
            let found = text.lines().find_map(|line| line.strip_prefix(prefix));
            found.unwrap_or_default().trim_start().to_owned()
        };
        Some(ServerEvent {
            name: field("event:"),
            data: field("data:"),
        })
    }
}
