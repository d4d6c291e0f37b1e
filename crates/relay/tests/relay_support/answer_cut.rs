use super::scripted_engine::ConnectionEnd;
use super::scripted_engine::ScriptedAnswer;

/// How an answer tells where its body ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum BodyFraming {
    Length,
    Chunks,
    Connection,
}

/// An answer that stops after some of its bytes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AnswerCut {
    pub(crate) framing: BodyFraming,
    pub(crate) end: ConnectionEnd,
    pub(crate) position: usize,
}

impl AnswerCut {
    /// Returns all cuts of an answer with this body, and the answer that isn't cut.
    ///
    /// Neighbors in the list are far apart in the answer, so that the engines aren't avoided because several answers
    /// in a row have no head.
    pub(crate) fn all(body: &[u8]) -> Vec<AnswerCut> {
        let mut cuts = Vec::new();
        for framing in [
            BodyFraming::Length,
            BodyFraming::Chunks,
            BodyFraming::Connection,
        ] {
            for end in [ConnectionEnd::Closed, ConnectionEnd::Reset] {
                let count = frame_answer("c0000", framing, body).len() + 1;
                let stride = (count * 8 / 21..).find(|stride| is_coprime(*stride, count));
                cuts.extend((0..count).map(|index| AnswerCut {
                    framing,
                    end,
                    position: index * stride.unwrap() % count,
                }));
            }
        }
        cuts
    }

    /// Returns the answer up to the cut.
    pub(crate) fn apply(self, id: &str, body: &[u8]) -> ScriptedAnswer {
        let mut bytes = frame_answer(id, self.framing, body);
        bytes.truncate(self.position);
        ScriptedAnswer {
            bytes,
            end: self.end,
        }
    }

    /// Returns whether the answer arrives whole.
    pub(crate) fn is_whole(self, body: &[u8]) -> bool {
        let is_sent = self.position == frame_answer("c0000", self.framing, body).len();
        is_sent && !(self.framing == BodyFraming::Connection && self.end == ConnectionEnd::Reset)
    }

    /// Returns the part of the body that arrives as if it were whole, if there is such a part.
    pub(crate) fn undetected_part(self, body: &[u8], is_stream: bool) -> Option<&[u8]> {
        let head_length = frame_answer("c0000", self.framing, b"").len();
        let part = &body[..self.position.checked_sub(head_length)?.min(body.len())];
        match is_stream {
            true => self.is_undetected_part(part).then_some(part),
            false => self.is_undetectable().then_some(part),
        }
    }

    /// Returns whether a stream that stops after these events can't be told from a whole one.
    pub(crate) fn is_undetected_part(self, events: &[u8]) -> bool {
        self.is_undetectable() && events.ends_with(b"\n\n")
    }

    /// Returns whether the end of the body is that of its connection, which ends as after a whole one.
    fn is_undetectable(self) -> bool {
        self.framing == BodyFraming::Connection && self.end == ConnectionEnd::Closed
    }
}

fn is_coprime(first: usize, second: usize) -> bool {
    match second {
        0 => first == 1,
        _ => is_coprime(second, first % second),
    }
}

/// Returns a signed answer with a body.
pub(crate) fn frame_answer(id: &str, framing: BodyFraming, body: &[u8]) -> Vec<u8> {
    let line = match framing {
        BodyFraming::Length => format!("content-length: {}\r\n", body.len()),
        BodyFraming::Chunks => "transfer-encoding: chunked\r\n".to_owned(),
        BodyFraming::Connection => String::new(),
    };
    // Without the close, the relay might send the next request before it notices the end of the connection.
    let head = format!(
        "HTTP/1.1 200 OK\r\nrequest: {id}\r\nsignature: s1\r\nconnection: close\r\n{line}\r\n"
    );
    let mut bytes = head.into_bytes();
    if framing != BodyFraming::Chunks {
        bytes.extend(body);
        return bytes;
    }
    // Chunks end inside events.
    for chunk in body.chunks(17) {
        bytes.extend(format!("{:x}\r\n", chunk.len()).bytes());
        bytes.extend(chunk);
        bytes.extend(b"\r\n");
    }
    bytes.extend(b"0\r\n\r\n");
    bytes
}
