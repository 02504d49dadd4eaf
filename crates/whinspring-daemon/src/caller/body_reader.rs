//! Reading of request bodies.

use {
    crate::{exchange::UploadSender, serve::BodySource},
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

/// Bytes of the body read before the request is forwarded.
const FIRST_BYTES: usize = 64 << 10;

/// Longest pause between two chunks of the body.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(10);

/// Bytes of a refused request's body that are read, so that the caller receives the response.
const DISCARD_BYTES: usize = 1 << 20;

/// Longest time for reading a refused request's body.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(250);

/// Reads the body of a caller's request.
#[derive(Clone)]
pub struct BodyReader {
    /// State shared with the task that sends the remainder.
    state: Rc<State>,
    /// Length from `content-length`, if present.
    length: Option<u64>,
}

/// Progress of reading the body.
struct State {
    /// The body; `None` once it has ended.
    body: RefCell<Option<RequestBody>>,
    /// The caller's connection.
    conn: Rc<Conn>,
    /// Bytes not yet received, if the length is known.
    remaining: Cell<Option<u64>>,
    /// Whether the body is complete.
    whole: Cell<bool>,
    /// Whether bytes after the first ones have been forwarded.
    consumed: Cell<bool>,
}

/// The body ended early or made no progress.
struct Broken;

impl BodyReader {
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

    /// Returns whether the first bytes are the complete body.
    pub fn is_whole(&self) -> bool {
        self.state.whole.get()
    }

    /// Returns the length of the complete body, if known.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// Reads the first bytes of the body.
    ///
    /// # Errors
    ///
    /// Fails if the body ends early, makes no progress or `left` elapses.
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

    /// Reads until `FIRST_BYTES` are available or the body ends.
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
    fn start_upload(&self, upload: UploadSender) {
        tokio::task::spawn_local(send_remainder(self.state.clone(), upload));
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

    /// Polls the body once more so that it observes its end; otherwise, dropping it would close the
    /// connection.
    fn poll_end(&self) {
        let Some(mut body) = self.body.borrow_mut().take() else { return };
        let _ = Pin::new(&mut body).poll_frame(&mut Context::from_waker(Waker::noop()));
    }

    /// Reads the next data frame.
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

    /// Returns whether a body that has ended is complete: the declared length was received or,
    /// without one, the caller is still connected.
    fn is_complete(&self) -> bool {
        match self.remaining.get() {
            Some(left) => left == 0,
            None => !self.conn.is_at_eof(),
        }
    }
}

/// Sends the remainder of the body once the holder grants credit.
async fn send_remainder(state: Rc<State>, upload: UploadSender) {
    if upload.wait_for_credit().await.is_err() {
        return;
    }
    state.consumed.set(true);
    loop {
        let next = tokio::select! {
            next = state.next() => next,
            () = upload.wait_closed() => break
        };
        let Ok(next) = next else { return upload.abort() };
        let last = next.is_none() || state.remaining.get() == Some(0);
        if upload.send(next.unwrap_or_default(), last).await.is_err() || last {
            break;
        }
    }
    state.body.borrow_mut().take();
}

/// Discards a bounded part of a refused request's body, unless the caller awaits `100 Continue`.
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
