/// A decoder that yields the data lines of a stream of server-sent events.
#[derive(Debug, Default)]
pub(super) struct EventDecoder {
    buffer: Vec<u8>,
}

impl EventDecoder {
    /// Adds the next bytes of the stream.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the data of the next complete `data:` line; other lines are skipped.
    pub(super) fn next_data(&mut self) -> Option<String> {
        loop {
            let end = self.buffer.iter().position(|byte| *byte == b'\n')?;
            let line: Vec<u8> = self.buffer.drain(..=end).collect();
            let line = String::from_utf8_lossy(&line);
            if let Some(data) = line.trim_end().strip_prefix("data:") {
                return Some(data.trim_start().to_owned());
            }
        }
    }
}
