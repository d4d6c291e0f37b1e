use super::EventFault;

/// The maximum number of bytes between the ends of two events that carry data, in bytes.
///
/// Events are some hundred bytes long. Without a limit, an engine that sends an event or comments without
/// end fills the memory of the process.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// The bytes with which a stream may begin, by the format of event streams.
const BYTE_ORDER_MARK: &[u8] = "\u{feff}".as_bytes();

/// Splits the bytes of an event stream into complete events.
///
/// Lines end with LF, CR or CRLF, by the format of event streams, and the bytes are passed on as they are. An engine
/// may stop in the middle of an event. Only complete events are passed on, so that
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
    /// The number of buffered bytes that were searched for the end of an event.
    searched: usize,
    /// The start of the line that was being searched, within the buffer.
    line_start: usize,
    /// Whether the last byte that was searched is a CR, so that an LF belongs to the same line end.
    is_after_cr: bool,
    /// The number of bytes since the last event that carries data.
    idle_bytes: usize,
    last_id: Option<u64>,
    event_count: u64,
    data_count: u64,
}

impl EventSplitter {
    /// Creates a splitter for a stream that resumes after the event `last_id`, or for a new one.
    pub fn new(last_id: Option<u64>) -> EventSplitter {
        EventSplitter {
            last_id,
            ..EventSplitter::default()
        }
    }

    /// Adds bytes of the stream and returns all bytes up to the end of the last complete event.
    ///
    /// If an event is out of order, the events before it are returned first. The error follows with
    /// the next call, and until then the event counts as incomplete.
    ///
    /// # Errors
    ///
    /// Returns [`EventFault::OutOfOrder`] for an event that does not follow its predecessor,
    /// [`EventFault::Malformed`] for bytes that are no event or can't be matched to a stream that is resumed, and
    /// [`EventFault::TooLong`] if too many bytes arrive without an event that carries data.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, EventFault> {
        self.buffer.extend_from_slice(bytes);
        self.idle_bytes += bytes.len();
        let mut complete_len = 0;
        while let Some(end) = self.find_event_end(complete_len) {
            let event = &self.buffer[complete_len..end];
            let id = event.split(is_line_end).find_map(event_id);
            if let Some(fault) = self.event_fault(event, id) {
                if complete_len == 0 {
                    return Err(fault);
                }
                // The event is found again with the next call.
                self.searched = complete_len;
                self.line_start = complete_len;
                self.is_after_cr = false;
                break;
            }
            if id.is_some() {
                self.last_id = id;
                self.event_count += 1;
            }
            if event.split(is_line_end).any(is_data) {
                self.data_count += 1;
                self.idle_bytes = self.buffer.len() - end;
            }
            complete_len = end;
        }
        if self.idle_bytes > MAX_EVENT_BYTES {
            return Err(EventFault::TooLong);
        }
        let rest = self.buffer.split_off(complete_len);
        self.searched -= complete_len;
        self.line_start -= complete_len;
        Ok(std::mem::replace(&mut self.buffer, rest))
    }

    /// Returns the end of the event that begins at `start`, with the blank line that ends it.
    ///
    /// A CR ends a line at once. If it ended the event, an LF that follows is returned as bytes without an event.
    fn find_event_end(&mut self, start: usize) -> Option<usize> {
        while let Some(byte) = self.buffer.get(self.searched) {
            let index = self.searched;
            self.searched += 1;
            let follows_cr = std::mem::replace(&mut self.is_after_cr, *byte == b'\r');
            if !is_line_end(byte) {
                continue;
            }
            let is_same_end = *byte == b'\n' && follows_cr;
            let is_blank = self.line_start == index;
            self.line_start = self.searched;
            if (is_blank && !is_same_end) || (is_same_end && index == start) {
                return Some(self.searched);
            }
        }
        None
    }

    /// Returns why an event can't be passed on, if so.
    ///
    /// An engine may write an error, or a whole head, where its events are due.
    fn event_fault(&self, event: &[u8], id: Option<u64>) -> Option<EventFault> {
        let mut lines = event.split(is_line_end);
        if !lines.all(is_event_line) {
            return Some(EventFault::Malformed);
        }
        match (id, self.last_id) {
            (Some(id), Some(last)) if Some(id) != last.checked_add(1) => {
                Some(EventFault::OutOfOrder { id })
            }
            // Without an identifier, the first event of a resumed stream may be any event, or none of it.
            (None, Some(_)) if self.event_count == 0 && event.split(is_line_end).any(is_data) => {
                Some(EventFault::Malformed)
            }
            _ => None,
        }
    }

    /// Returns the identifier of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the number of complete events with an identifier.
    pub fn event_count(&self) -> u64 {
        self.event_count
    }

    /// Returns the number of complete events that carry data; comments and other events without data are
    /// no progress of a stream.
    pub fn data_count(&self) -> u64 {
        self.data_count
    }

    /// Returns the size of the buffer for an incomplete event, in bytes.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.capacity()
    }

    /// Returns whether bytes of an incomplete event are buffered.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }
}

fn is_line_end(byte: &u8) -> bool {
    matches!(byte, b'\n' | b'\r')
}

/// Returns whether a line may be part of an event: an empty line, a comment, or a field whose name has the
/// characters of an HTTP header's name.
fn is_event_line(line: &[u8]) -> bool {
    let line = line.strip_prefix(BYTE_ORDER_MARK).unwrap_or(line);
    let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
    let is_token = |byte: &u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(byte);
    line.is_empty() || line.starts_with(b":") || name.iter().all(is_token)
}

fn is_data(line: &[u8]) -> bool {
    line.starts_with(b"data:")
}

fn event_id(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(b"id:")?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
