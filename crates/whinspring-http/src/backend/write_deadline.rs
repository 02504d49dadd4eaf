//! A socket that does not start to write a request after its write deadline.

use {
    super::read_limit::LimitedStream,
    crate::clock::Clock,
    hyper::rt::{Read, ReadBufCursor, Write},
    hyper_util::rt::TokioIo,
    std::{
        io,
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        task::{Context, Poll, ready},
    },
    whinspring::time::Tick,
};

/// Time until which the first byte of a request may be written, and whether it was.
#[derive(Debug)]
pub struct WriteDeadline {
    clock: Clock,
    /// Tick from which on the first byte may no longer be written.
    deadline: AtomicU64,
    /// Whether a byte was written since the deadline was set.
    wrote: AtomicBool,
}

impl WriteDeadline {
    /// Creates a deadline that has already passed.
    pub fn new(clock: Clock) -> Arc<Self> {
        Arc::new(Self { clock, deadline: AtomicU64::new(0), wrote: AtomicBool::new(false) })
    }

    /// Sets the deadline of the next request.
    pub fn set(&self, deadline: Tick) {
        self.deadline.store(deadline.0, Ordering::Relaxed);
        self.wrote.store(false, Ordering::Relaxed);
    }

    /// Returns whether a byte of the request was written to the socket.
    pub fn wrote(&self) -> bool {
        self.wrote.load(Ordering::Relaxed)
    }

    /// Returns whether the request may be written, or has been written in part.
    fn allows_write(&self) -> bool {
        self.wrote() || self.clock.now() < Tick(self.deadline.load(Ordering::Relaxed))
    }
}

/// A socket that checks the clock before the first write of each request.
#[derive(Debug)]
pub struct GuardedStream {
    socket: TokioIo<LimitedStream>,
    deadline: Arc<WriteDeadline>,
}

impl GuardedStream {
    /// Wraps a socket.
    pub fn new(socket: LimitedStream, deadline: Arc<WriteDeadline>) -> Self {
        Self { socket: TokioIo::new(socket), deadline }
    }

    /// Records that `written` bytes were written.
    fn record_write(&self, written: usize) {
        if written > 0 {
            self.deadline.wrote.store(true, Ordering::Relaxed);
        }
    }

    /// Fails if the deadline passed before the first byte of the request was written.
    fn check(&self) -> io::Result<()> {
        if self.deadline.allows_write() { Ok(()) } else { Err(io::ErrorKind::TimedOut.into()) }
    }
}

impl Read for GuardedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_read(cx, buf)
    }
}

impl Write for GuardedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check()?;
        let written = ready!(Pin::new(&mut self.socket).poll_write(cx, buf))?;
        self.record_write(written);
        Poll::Ready(Ok(written))
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
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check()?;
        let written = ready!(Pin::new(&mut self.socket).poll_write_vectored(cx, bufs))?;
        self.record_write(written);
        Poll::Ready(Ok(written))
    }
}
