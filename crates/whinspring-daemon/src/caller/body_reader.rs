//! The body of a caller's request.

use {
    crate::{exchange::Uplink, serve::BodySource},
    bytes::{Bytes, BytesMut},
    http::{
        HeaderMap,
        header::{CONTENT_LENGTH, EXPECT},
    },
    std::{
        cell::{Cell, RefCell},
        future::poll_fn,
        pin::Pin,
        rc::Rc,
        task::{Context, Waker},
        time::Duration,
    },
    tokio::time::{Instant, timeout, timeout_at},
    whinspring::{code::Code, request::Refusal},
    whinspring_http::caller::Conn,
    xitca_http::{
        RequestBody,
        body::{Body, Frame},
    },
};

/// Bytes of a body that are read before the request is forwarded.
const FIRST_BYTES: usize = 64 << 10;

/// Longest time without a byte of a body.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(10);

/// Bytes of a refused request's body that are read, so that the caller sees the answer.
const DISCARD_BYTES: usize = 1 << 20;

/// Time for which they are read.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(250);

/// A caller's request body.
#[derive(Clone)]
pub struct BodyReader {
    /// State shared with the task that sends the rest.
    state: Rc<State>,
    /// Length of the whole body, if the caller named it.
    length: Option<u64>,
}

/// What reading the body has come to.
struct State {
    /// The body; taken while it is read.
    body: RefCell<Option<RequestBody>>,
    /// Connection of the caller.
    conn: Rc<Conn>,
    /// Bytes that are still to come, if the caller named the length.
    remaining: Cell<Option<u64>>,
    /// Whether the body is complete.
    whole: Cell<bool>,
    /// Whether bytes after the first ones have been sent on.
    consumed: Cell<bool>,
}

/// The body broke off, or made no progress.
struct Broken;

impl BodyReader {
    /// Takes the body of a request.
    pub fn new(body: RequestBody, headers: &HeaderMap, conn: Rc<Conn>) -> Self {
        let length =
            headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok()?.parse().ok());
        let none = body.is_end_stream();
        let length = if none { Some(0) } else { length };
        let state = State {
            body: RefCell::new(Some(body)),
            conn,
            remaining: Cell::new(length),
            whole: Cell::new(none),
            consumed: Cell::new(false),
        };
        Self { state: Rc::new(state), length }
    }

    /// Returns whether the first bytes are the whole body.
    pub fn is_whole(&self) -> bool {
        self.state.whole.get()
    }

    /// Returns the length of the whole body, if the caller named it.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// Reads the first bytes of the body.
    ///
    /// # Errors
    ///
    /// Fails if the body breaks off, or makes no progress, or `left` passes.
    pub async fn read_first(&mut self, left: Duration) -> Result<Bytes, Refusal> {
        if self.is_whole() {
            return Ok(Bytes::new());
        }
        let end = Instant::now() + left;
        let Ok(read) = timeout_at(end, self.fill_first()).await else {
            return Err(Refusal { code: Code::Expired, retry_ms: 0 });
        };
        read.map_err(|Broken| Refusal { code: Code::BadRequest, retry_ms: 0 })
    }

    /// Reads until there are enough bytes, or no more.
    async fn fill_first(&self) -> Result<Bytes, Broken> {
        let mut all = BytesMut::new();
        while all.len() < FIRST_BYTES {
            match self.state.next().await? {
                Some(bytes) if all.is_empty() && self.state.remaining.get() == Some(0) => {
                    self.state.whole.set(true);
                    return Ok(bytes);
                }
                Some(bytes) => all.extend_from_slice(&bytes),
                None => {
                    self.state.whole.set(true);
                    break;
                }
            }
        }
        if self.state.remaining.get() == Some(0) {
            self.state.whole.set(true);
        }
        Ok(all.freeze())
    }
}

impl BodySource for BodyReader {
    fn start_upload(&self, uplink: Uplink) {
        tokio::task::spawn_local(pump(self.state.clone(), uplink));
    }

    fn is_consumed(&self) -> bool {
        self.state.consumed.get()
    }
}

impl State {
    /// Reads the next bytes; `None` after the last.
    async fn next(&self) -> Result<Option<Bytes>, Broken> {
        let next = timeout(PROGRESS_TIMEOUT, self.next_frame()).await.map_err(|_| Broken)?;
        let Some(bytes) = next? else {
            return if self.is_complete() { Ok(None) } else { Err(Broken) };
        };
        let left = self.remaining.get().map(|left| left.saturating_sub(bytes.len() as u64));
        self.remaining.set(left);
        if left == Some(0) {
            self.poll_end();
        }
        Ok(Some(bytes))
    }

    /// Lets the body note its end before it is dropped; else the connection would be closed.
    fn poll_end(&self) {
        let Some(mut body) = self.body.borrow_mut().take() else { return };
        let _ = Pin::new(&mut body).poll_frame(&mut Context::from_waker(Waker::noop()));
    }

    /// Reads the next bytes as they come.
    async fn next_frame(&self) -> Result<Option<Bytes>, Broken> {
        let frame = poll_fn(|cx| {
            let mut body = self.body.borrow_mut();
            let Some(body) = body.as_mut() else { return std::task::Poll::Ready(None) };
            Pin::new(body).poll_frame(cx)
        })
        .await;
        match frame {
            Some(Ok(Frame::Data(bytes))) => Ok(Some(bytes)),
            Some(Ok(Frame::Trailers(_))) | None => Ok(None),
            Some(Err(_)) => Err(Broken),
        }
    }

    /// Returns whether a body that has ended is whole: the caller sent the length that it named,
    /// or, without one, is still there.
    fn is_complete(&self) -> bool {
        match self.remaining.get() {
            Some(left) => left == 0,
            None => !self.conn.is_at_eof(),
        }
    }
}

/// Sends the rest of a body once the holder asks for it.
async fn pump(state: Rc<State>, uplink: Uplink) {
    if uplink.asked().await.is_err() {
        return;
    }
    state.consumed.set(true);
    loop {
        let next = tokio::select! {
            next = state.next() => next,
            () = uplink.closed() => break,
        };
        let Ok(next) = next else { return uplink.abandon() };
        let last = next.is_none() || state.remaining.get() == Some(0);
        if uplink.send(next.unwrap_or_default(), last).await.is_err() || last {
            break;
        }
    }
    state.body.borrow_mut().take();
}

/// Reads the body of a refused request, within bounds, unless the caller waits to send it.
pub async fn discard(headers: &HeaderMap, mut body: RequestBody) {
    if headers.contains_key(EXPECT) {
        return;
    }
    let mut read = 0;
    let steps = async {
        while read < DISCARD_BYTES {
            match poll_fn(|cx| Pin::new(&mut body).poll_frame(cx)).await {
                Some(Ok(Frame::Data(bytes))) => read += bytes.len(),
                _ => return,
            }
        }
    };
    let _ = timeout(DISCARD_TIMEOUT, steps).await;
}
