/// The maximum length of a line, in bytes; a token takes some hundred.
const MAX_LINE_BYTES: usize = 256 * 1024;

/// A decoder that yields the data lines of a stream of server-sent events.
#[derive(Debug, Default)]
pub(super) struct EventDecoder {
    buffer: Vec<u8>,
}

impl EventDecoder {
    /// Adds the next bytes of the stream; returns false if a line exceeds the limit.
    pub(super) fn push(&mut self, bytes: &[u8]) -> bool {
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() <= MAX_LINE_BYTES || self.buffer.contains(&b'\n')
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
