/// The whole events in the bytes of a stream.
///
/// An engine may stop in the middle of an event. Only whole events are passed on, so that the stream
/// can go on at another engine after the last of them.
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
    rest: Vec<u8>,
    last_id: Option<u64>,
    event_count: u64,
}

impl EventSplitter {
    /// Creates a splitter for a stream that goes on after the event `last_id`.
    pub fn new(last_id: Option<u64>) -> EventSplitter {
        EventSplitter {
            rest: Vec::new(),
            last_id,
            event_count: 0,
        }
    }

    /// Takes bytes of the stream and returns those that end whole events.
    ///
    /// The events before one that is out of order are returned; the error follows with the next bytes,
    /// and until then that event counts as unfinished.
    ///
    /// # Errors
    ///
    /// Returns the identifier of an event that does not follow the one before.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, u64> {
        self.rest.extend_from_slice(bytes);
        let mut whole = 0;
        while let Some(length) = first_event_end(&self.rest[whole..]) {
            let end = whole + length;
            let lines = self.rest[whole..end].split(|byte| *byte == b'\n');
            if let Some(id) = lines.filter_map(event_id).next() {
                if self.last_id.is_some_and(|last| id != last + 1) {
                    if whole == 0 {
                        return Err(id);
                    }
                    break;
                }
                self.last_id = Some(id);
                self.event_count += 1;
            }
            whole = end;
        }
        let rest = self.rest.split_off(whole);
        Ok(std::mem::replace(&mut self.rest, rest))
    }

    /// Returns the identifier of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the number of whole events with an identifier.
    pub fn event_count(&self) -> u64 {
        self.event_count
    }

    /// Returns whether bytes of an unfinished event are held.
    pub fn has_partial_event(&self) -> bool {
        !self.rest.is_empty()
    }
}

/// Returns the position after the first blank line.
fn first_event_end(bytes: &[u8]) -> Option<usize> {
    let found = bytes.windows(2).position(|pair| pair == b"\n\n");
    found.map(|position| position + 2)
}

fn event_id(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(b"id:")?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
