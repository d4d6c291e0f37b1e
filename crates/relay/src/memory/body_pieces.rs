use std::collections::VecDeque;

use bytes::Bytes;
use bytes::BytesMut;

/// The size of a piece, in bytes.
const PIECE_BYTES: usize = 64 * 1024;

/// The bytes of a body in pieces, so that neither growing nor writing it copies the whole.
#[derive(Debug, Default)]
pub struct BodyPieces {
    full: VecDeque<Bytes>,
    /// The piece that is being filled.
    last: BytesMut,
    full_bytes: usize,
}

impl BodyPieces {
    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.full_bytes + self.last.len()
    }

    /// Returns whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the size of the memory that is held once `added` further bytes are added, in bytes.
    pub fn capacity_with(&self, added: usize) -> usize {
        match self.len() + added {
            length if length <= PIECE_BYTES => length,
            length => length.next_multiple_of(PIECE_BYTES),
        }
    }

    /// Adds bytes at the end.
    pub fn push(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let room = PIECE_BYTES - self.last.len();
            let (now, later) = bytes.split_at(bytes.len().min(room));
            if self.last.is_empty() && !self.full.is_empty() {
                self.last.reserve(PIECE_BYTES);
            }
            self.last.extend_from_slice(now);
            if self.last.len() == PIECE_BYTES {
                self.finish();
            }
            bytes = later;
        }
    }

    /// Ends the last piece.
    pub(super) fn finish(&mut self) {
        if !self.last.is_empty() {
            self.full_bytes += self.last.len();
            self.full.push_back(std::mem::take(&mut self.last).freeze());
        }
    }

    /// Removes the first piece of a finished body.
    pub(super) fn pop(&mut self) -> Option<Bytes> {
        let piece = self.full.pop_front()?;
        self.full_bytes -= piece.len();
        Some(piece)
    }

    /// Returns the bytes as one piece.
    pub fn into_bytes(mut self) -> Bytes {
        self.finish();
        if self.full.len() <= 1 {
            return self.pop().unwrap_or_default();
        }
        let mut whole = Vec::with_capacity(self.len());
        while let Some(piece) = self.pop() {
            whole.extend_from_slice(&piece);
        }
        Bytes::from(whole)
    }
}
