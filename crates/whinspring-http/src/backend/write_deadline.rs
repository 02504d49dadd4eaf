//! A socket that refuses to start a request after its time.

use {
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
    tokio::net::TcpStream,
    whinspring::time::Tick,
};

/// Whether a request may be written, and whether any of it was.
#[derive(Debug)]
pub struct WriteDeadline {
    /// Clock of the process.
    clock: Clock,
    /// Point after which no first byte may be written.
    deadline: AtomicU64,
    /// Whether a byte was written since the gate was set.
    wrote: AtomicBool,
}

impl WriteDeadline {
    /// Creates a gate that is shut.
    pub fn new(clock: Clock) -> Arc<Self> {
        Arc::new(Self { clock, deadline: AtomicU64::new(0), wrote: AtomicBool::new(false) })
    }

    /// Lets one request start before `deadline`.
    pub fn set(&self, deadline: Tick) {
        self.deadline.store(deadline.0, Ordering::Relaxed);
        self.wrote.store(false, Ordering::Relaxed);
    }

    /// Returns whether a byte of the request was handed to the network.
    pub fn wrote(&self) -> bool {
        self.wrote.load(Ordering::Relaxed)
    }

    /// Returns whether a byte may be written now.
    fn allows_write(&self) -> bool {
        self.wrote() || self.clock.now() < Tick(self.deadline.load(Ordering::Relaxed))
    }
}

/// A socket whose first write of each request looks at the clock.
#[derive(Debug)]
pub struct GuardedStream {
    /// The socket.
    socket: TokioIo<TcpStream>,
    /// Whether the request may be written.
    deadline: Arc<WriteDeadline>,
}

impl GuardedStream {
    /// Puts a gate before a socket.
    pub fn new(socket: TcpStream, deadline: Arc<WriteDeadline>) -> Self {
        Self { socket: TokioIo::new(socket), deadline }
    }

    /// Notes what a write did.
    fn record_write(&self, written: usize) {
        if written > 0 {
            self.deadline.wrote.store(true, Ordering::Relaxed);
        }
    }

    /// Fails once the request's time has passed before its first byte.
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
