use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::Interest;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;

use super::activity_phase::ActivityPhase;
use super::caller_activity::CallerActivity;

/// The time after which a connection with bytes that are not read yet is checked again, in milliseconds.
const UNREAD_CHECK_MS: u64 = 200;

/// A caller's connection that records when bytes are received and sent.
#[derive(Debug)]
pub(super) struct WatchedStream {
    reader: OwnedReadHalf,
    writer: Rc<OwnedWriteHalf>,
    activity: Rc<CallerActivity>,
}

impl WatchedStream {
    /// Wraps a connection that has just been opened.
    pub(super) fn new(stream: TcpStream, activity: Rc<CallerActivity>) -> WatchedStream {
        let (reader, writer) = stream.into_split();
        WatchedStream {
            reader,
            writer: Rc::new(writer),
            activity,
        }
    }

    /// Returns a future that ends when the caller has closed the connection during a request, also if bytes before the
    /// end are not read.
    pub(super) fn caller_left(&self) -> impl Future<Output = ()> + use<> {
        let (stream, activity) = (Rc::clone(&self.writer), Rc::clone(&self.activity));
        async move {
            loop {
                let ready = stream.ready(Interest::READABLE).await;
                let is_closed = ready.as_ref().map_or(true, |ready| ready.is_read_closed());
                if is_closed && activity.phase() == ActivityPhase::Request {
                    return;
                }
                // Unread bytes and the end stay ready.
                if is_closed || ready.is_ok_and(|ready| ready.is_readable()) {
                    tokio::time::sleep(Duration::from_millis(UNREAD_CHECK_MS)).await;
                }
            }
        }
    }

    /// Writes with `write` as soon as the connection takes bytes.
    fn poll_written(
        &self,
        context: &mut Context<'_>,
        write: impl Fn(&OwnedWriteHalf) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            std::task::ready!(self.writer.as_ref().as_ref().poll_write_ready(context))?;
            match write(&self.writer) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => {
                    if matches!(written, Ok(length) if length > 0) {
                        self.activity.record_write();
                    }
                    return Poll::Ready(written);
                }
            }
        }
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        let result = Pin::new(&mut self.reader).poll_read(context, buffer);
        if buffer.filled().len() > filled {
            self.activity.record_read();
        }
        result
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_written(context, |writer| writer.try_write(bytes))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    /// The connection is shut down when its last handle is dropped, which follows.
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_written(context, |writer| writer.try_write_vectored(buffers))
    }
}
