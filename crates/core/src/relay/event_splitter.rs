/// Splits the bytes of an event stream into complete events.
///
/// An engine may stop in the middle of an event. Only complete events are passed on, so that
/// another engine can resume the stream after the last of them.
///
/// # Example
///
/// ```
/// use dandelionroad_core::relay::EventSplitter;
///
/// let mut splitter = EventSplitter::new(None);
/// assert_eq!(splitter.push(b"id: 1\ndata: a\n\nid: 2\nda").unwrap(), b"id: 1\ndata: a\n\n");
/// assert_eq!(splitter.last_id(), Some(1));
/// assert!(splitter.has_partial_event());
/// assert_eq!(splitter.push(b"ta: b\n\n").unwrap(), b"id: 2\ndata: b\n\n");
/// // An event that was passed on before is out of order.
/// assert!(splitter.push(b"id: 2\ndata: b\n\n").is_err());
/// ```
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    buffer: Vec<u8>,
    last_id: Option<u64>,
    event_count: u64,
}

impl EventSplitter {
    /// Creates a splitter for a stream that resumes after the event `last_id`, or for a new one.
    pub fn new(last_id: Option<u64>) -> EventSplitter {
        EventSplitter {
            buffer: Vec::new(),
            last_id,
            event_count: 0,
        }
    }

    /// Adds bytes of the stream and returns all bytes up to the end of the last complete event.
    ///
    /// If an event is out of order, the events before it are returned first. The error follows with
    /// the next call, and until then the event counts as incomplete.
    ///
    /// # Errors
    ///
    /// Returns the identifier of an event that does not follow its predecessor.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, u64> {
        self.buffer.extend_from_slice(bytes);
        let mut complete_len = 0;
        while let Some(length) = first_event_end(&self.buffer[complete_len..]) {
            let end = complete_len + length;
            let lines = self.buffer[complete_len..end].split(|byte| *byte == b'\n');
            if let Some(id) = lines.filter_map(event_id).next() {
                if self.last_id.is_some_and(|last| id != last + 1) {
                    if complete_len == 0 {
                        return Err(id);
                    }
                    break;
                }
                self.last_id = Some(id);
                self.event_count += 1;
            }
            complete_len = end;
        }
        let rest = self.buffer.split_off(complete_len);
        Ok(std::mem::replace(&mut self.buffer, rest))
    }

    /// Returns the identifier of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the number of complete events with an identifier.
    pub fn event_count(&self) -> u64 {
        self.event_count
    }

    /// Returns whether bytes of an incomplete event are buffered.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// Returns the position after the first blank line, which ends an event.
fn first_event_end(bytes: &[u8]) -> Option<usize> {
    let found = bytes.windows(2).position(|pair| pair == b"\n\n");
    found.map(|position| position + 2)
}

fn event_id(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(b"id:")?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
