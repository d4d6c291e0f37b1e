use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;
use hyper_util::client::legacy::connect::Connected;
use hyper_util::client::legacy::connect::Connection;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::memory::HeldBytes;

use super::AnswerCount;

/// A connection to an engine, whose responses carry the number of responses on it as an extension.
#[derive(Debug)]
pub(super) struct EngineStream {
    stream: TokioIo<TcpStream>,
    answers: AnswerCount,
    /// The charge of the library's read buffer.
    held: Option<HeldBytes>,
    /// The size of that buffer, as far as it is known, in bytes.
    buffer_bytes: usize,
}

impl EngineStream {
    /// Wraps a connection that has just been opened.
    pub(super) fn new(stream: TokioIo<TcpStream>, held: Option<HeldBytes>) -> EngineStream {
        EngineStream {
            stream,
            answers: AnswerCount::default(),
            held,
            buffer_bytes: 0,
        }
    }

    /// Charges a read into a buffer of the given size; returns false if the connection has been ended.
    fn charge(&mut self, buffer_bytes: usize) -> bool {
        let Some(held) = &self.held else {
            return true;
        };
        if buffer_bytes <= self.buffer_bytes {
            return !held.is_ended();
        }
        self.buffer_bytes = buffer_bytes;
        held.resize(buffer_bytes)
    }
}

impl Connection for EngineStream {
    fn connected(&self) -> Connected {
        self.stream.connected().extra(self.answers.clone())
    }
}

impl Read for EngineStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.charge(buffer.remaining()) {
            let error = "the connection was closed to free memory";
            return Poll::Ready(Err(io::Error::other(error)));
        }
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl Write for EngineStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }
}
