//! Limit on what is read of a response beyond the bytes of its body.
//!
//! A server in trouble may send interim responses, chunk sizes or extensions without end. None of
//! them is delivered to the reader of the response, so that nothing else would end it before the
//! deadline, and the parser would take all the time of the thread meanwhile.

use {
    std::{
        io::{self, IoSlice},
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        task::{Context, Poll, ready},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// Bytes that may be read without any being delivered: the head, and what is buffered.
const MAX_UNDELIVERED_BYTES: usize = 256 << 10;

/// Bytes that may be read for each one that is delivered, as the framing of small chunks takes more
/// than their data.
const FRAMING_RATIO: usize = 8;

/// Number of bytes that may still be read before more of the body must be delivered.
#[derive(Debug)]
pub struct ReadLimit {
    left: AtomicUsize,
}

impl ReadLimit {
    pub fn new() -> Arc<Self> {
        Arc::new(Self { left: AtomicUsize::new(MAX_UNDELIVERED_BYTES) })
    }

    /// Begins a response.
    pub fn reset(&self) {
        self.left.store(MAX_UNDELIVERED_BYTES, Ordering::Relaxed);
    }

    /// Records that bytes of the body were delivered.
    pub fn record_delivery(&self, bytes: usize) {
        let left = self.left.load(Ordering::Relaxed);
        let left = left.saturating_add(bytes.saturating_mul(FRAMING_RATIO));
        self.left.store(left.min(MAX_UNDELIVERED_BYTES), Ordering::Relaxed);
    }

    /// Records that bytes were read.
    pub fn record_read(&self, bytes: usize) {
        let left = self.left.load(Ordering::Relaxed);
        self.left.store(left.saturating_sub(bytes), Ordering::Relaxed);
    }

    /// Fails if nothing more may be read.
    pub fn check(&self) -> io::Result<()> {
        let left = self.left.load(Ordering::Relaxed);
        if left > 0 { Ok(()) } else { Err(io::ErrorKind::InvalidData.into()) }
    }
}

/// A socket that counts what is read.
#[derive(Debug)]
pub struct LimitedStream {
    socket: TcpStream,
    limit: Arc<ReadLimit>,
}

impl LimitedStream {
    /// Wraps a socket.
    pub fn new(socket: TcpStream, limit: Arc<ReadLimit>) -> Self {
        Self { socket, limit }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.limit.check()?;
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.socket).poll_read(cx, buf))?;
        self.limit.record_read(buf.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write_vectored(cx, bufs)
    }
}
