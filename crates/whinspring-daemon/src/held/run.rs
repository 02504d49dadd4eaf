//! Execution of one request on the server.

use {
    super::{
        HeldServer, Permit, Remainder,
        answer::{MAX_RECORD_BYTES, encode_response},
    },
    crate::{
        backend::{CallError, Conn, Upstream},
        exchange::{Call, FlowWindow, ResponseSender, Upload},
        headers::{
            DEADLINE, EPOCH, NOT_RUN, REQUEST_ID, SLICE, TERM, TRACEPARENT, strip_hop_by_hop,
            strip_result_headers,
        },
        journal::{EventKind, Hop},
        trace,
    },
    bytes::Bytes,
    fastrace::Span,
    http::{
        HeaderMap, HeaderValue, Request, Response,
        header::{HOST, RETRY_AFTER},
        uri::PathAndQuery,
    },
    http_body::Body,
    hyper::body::Incoming,
    std::{sync::Arc, time::Duration},
    tokio::{sync::mpsc, time::timeout},
    tokio_util::sync::CancellationToken,
    whinspring::{code::Code, holder::Input, request::Refusal, time::Tick},
    whinspring_wire::link::{Head, Open, Reason},
};

/// Longest pause between two chunks of a response's body.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest time a caller may take to free credit in the flow-control window.
const READER_TIMEOUT: Duration = Duration::from_secs(60);

/// Largest body that is forwarded in one piece; larger ones are streamed.
const MAX_WHOLE_BYTES: u64 = MAX_RECORD_BYTES as u64;

/// A request being executed on the server.
pub struct Run {
    held: Arc<HeldServer>,
    permit: Permit,
    open: Box<Open>,
    /// Time by which the response must be sent to the entry.
    deadline: Tick,
    /// Remainder of the request's body; `None` once it is consumed.
    upload: Option<Upload>,
    /// Sends the response; `None` once the caller has a final response.
    responder: Option<ResponseSender>,
    /// Flow-control window of the response body; closes when the entry disconnects.
    response_window: Arc<FlowWindow>,
    /// Whether the disconnect has been reported to the holder.
    cancelled: bool,
    /// Refusals that replace the server's response.
    refused: mpsc::UnboundedReceiver<Refusal>,
    /// Aborts the request on the server.
    abort: CancellationToken,
}

/// Outcome of a request on the server.
enum End {
    /// Answered; with the encoded response if it is recorded.
    Answered(Option<Bytes>),
    /// Refused by the server before running; with the requested retry delay in milliseconds.
    Shed(u32),
    /// Refused by the server before running, as it has no grant for the term and epoch.
    Fenced,
    Failed(CallError),
}

impl End {
    /// Returns the description shown to operators.
    fn text(&self) -> &'static str {
        match self {
            Self::Answered(_) => "the server answered",
            Self::Shed(_) => "the server refused it before running it",
            Self::Fenced => "the server refused it: no grant under this term and epoch",
            Self::Failed(error) if error.is_sent() => "failed after it may have reached the server",
            Self::Failed(_) => "failed, nothing reached the server",
        }
    }
}

/// The holder aborted the request.
struct Aborted;

impl Run {
    pub(super) fn new(
        held: Arc<HeldServer>,
        permit: Permit,
        call: Call,
        refused: mpsc::UnboundedReceiver<Refusal>,
        abort: CancellationToken,
    ) -> Self {
        let Call { open, deadline, upload, responder } = call;
        let response_window = responder.response_window();
        Self {
            held,
            permit,
            open,
            deadline,
            upload: Some(upload),
            responder: Some(responder),
            response_window,
            cancelled: false,
            refused,
            abort,
        }
    }

    /// Sends the request and forwards the response.
    pub async fn run(mut self) {
        let parent = trace::parse_context(&self.open.headers);
        let span = Span::root("holder", parent);
        let child = Span::enter_with_parent("backend", &span);
        let traceparent = trace::traceparent(&child, parent);
        let end = match self.send(traceparent).await {
            Ok(end) => end,
            Err(Aborted) => End::Failed(CallError::Sent),
        };
        drop(child);
        self.finish(end);
    }

    /// Sends the request; resends an idempotent one if the reused connection was stale.
    async fn send(&mut self, traceparent: HeaderValue) -> Result<End, Aborted> {
        let non_idempotent = !self.open.meta.idempotent;
        let held = self.held.clone();
        let mut conn = match self.wait_for(held.backend.acquire(non_idempotent)).await? {
            Ok(conn) => conn,
            Err(error) => return Ok(End::Failed(error)),
        };
        let stale = conn.is_reused() && !non_idempotent && self.open.whole;
        let request = self.build_request(traceparent.clone());
        let until = self.permit.until;
        match self.wait_for(conn.send(request, until)).await? {
            Ok(response) => self.forward_response(conn, response).await,
            Err(error) if error.is_sent() && stale => {
                drop(conn);
                self.held.shared.metrics.count("backend_stale_connection");
                self.resend(traceparent).await
            }
            Err(error) => Ok(End::Failed(error)),
        }
    }

    /// Resends the request on a new connection.
    async fn resend(&mut self, traceparent: HeaderValue) -> Result<End, Aborted> {
        let held = self.held.clone();
        let mut conn = match self.wait_for(held.backend.open()).await? {
            Ok(conn) => conn,
            Err(_) => return Ok(End::Failed(CallError::Sent)),
        };
        let request = self.build_request(traceparent);
        let until = self.permit.until;
        match self.wait_for(conn.send(request, until)).await? {
            Ok(response) => self.forward_response(conn, response).await,
            Err(_) => Ok(End::Failed(CallError::Sent)),
        }
    }

    /// Forwards the server's response.
    async fn forward_response(
        &mut self,
        mut conn: Conn,
        response: Response<Incoming>,
    ) -> Result<End, Aborted> {
        let (parts, mut body) = response.into_parts();
        if let Some(reason) = parts.headers.get(NOT_RUN) {
            let end = parse_refusal(reason, &parts.headers);
            let rest = timeout(PROGRESS_TIMEOUT, conn.collect(&mut body, MAX_RECORD_BYTES));
            if let Ok(Ok(_)) = self.wait_for(rest).await? {
                self.held.backend.release(conn).await;
            }
            return Ok(end);
        }
        let length = body.size_hint().exact();
        let mut headers = parts.headers;
        strip_result_headers(&mut headers);
        let declared = headers.get(http::header::CONTENT_LENGTH).cloned();
        strip_hop_by_hop(&mut headers);
        if let Some(declared) = declared.filter(|_| self.open.method == http::Method::HEAD) {
            headers.insert(http::header::CONTENT_LENGTH, declared);
        }
        let (running, queued) = self.held.load();
        let head = Head {
            stream: 0,
            status: parts.status,
            code: Code::Done,
            headers,
            body: Bytes::new(),
            whole: false,
            length,
            running,
            queued,
        };
        if length.is_some_and(|length| length <= MAX_WHOLE_BYTES) {
            return self.forward_whole(conn, head, body).await;
        }
        self.forward_stream(conn, head, body).await
    }

    /// Forwards a small response in one piece.
    async fn forward_whole(
        &mut self,
        mut conn: Conn,
        mut head: Head,
        mut body: Incoming,
    ) -> Result<End, Aborted> {
        let bytes = timeout(PROGRESS_TIMEOUT, conn.collect(&mut body, MAX_RECORD_BYTES));
        let Ok(Ok(bytes)) = self.wait_for(bytes).await? else {
            return Ok(End::Failed(CallError::Sent));
        };
        head.body = bytes;
        head.whole = true;
        let record = (!self.open.meta.idempotent).then(|| encode_response(&head));
        if let Some(mut responder) = self.responder.take() {
            responder.send_head(head);
        }
        self.held.backend.release(conn).await;
        Ok(End::Answered(record))
    }

    /// Forwards a response chunk by chunk.
    async fn forward_stream(
        &mut self,
        mut conn: Conn,
        head: Head,
        mut body: Incoming,
    ) -> Result<End, Aborted> {
        self.held.feed(Input::Head(self.permit.job));
        if let Some(responder) = &mut self.responder {
            responder.send_head(head);
        }
        loop {
            let next = timeout(PROGRESS_TIMEOUT, conn.next(&mut body));
            let bytes = match self.wait_for(next).await? {
                Ok(Ok(Some(bytes))) => bytes,
                Ok(Ok(None)) => break,
                _ => return Ok(End::Failed(CallError::Sent)),
            };
            self.forward_chunk(bytes, false).await?;
        }
        self.forward_chunk(Bytes::new(), true).await?;
        self.held.backend.release(conn).await;
        Ok(End::Answered(None))
    }

    /// Forwards a chunk of the response's body, unless the caller already has a final response.
    async fn forward_chunk(&mut self, bytes: Bytes, last: bool) -> Result<(), Aborted> {
        let Some(mut responder) = self.responder.take() else { return Ok(()) };
        let sent = tokio::select! {
            sent = timeout(READER_TIMEOUT, responder.send_data(bytes, last)) => sent,
            Some(_) = self.refused.recv() => return Ok(()),
            () = self.abort.cancelled() => return Err(Aborted)
        };
        match sent {
            Ok(Ok(())) => self.responder = Some(responder),
            Ok(Err(_)) => self.cancel(),
            Err(_) => {
                self.held.shared.metrics.count("reader_stalled");
                self.cancel();
            }
        }
        Ok(())
    }

    /// Awaits `work` while handling refusals, the entry's disconnect and aborts.
    async fn wait_for<F: Future>(&mut self, work: F) -> Result<F::Output, Aborted> {
        let mut work = std::pin::pin!(work);
        loop {
            let response_window = self.response_window.clone();
            tokio::select! {
                biased;
                output = &mut work => return Ok(output),
                Some(refusal) = self.refused.recv() => {
                    if let Some(responder) = self.responder.take() {
                        responder.refuse(Reason::Refused(refusal));
                        self.cancelled = true;
                    }
                }
                () = response_window.wait_closed(), if !self.cancelled => self.cancel(),
                () = self.abort.cancelled() => return Err(Aborted)
            }
        }
    }

    /// Reports the caller's disconnect to the holder, once.
    fn cancel(&mut self) {
        if !std::mem::replace(&mut self.cancelled, true) {
            self.held.feed(Input::Cancel(self.permit.job));
        }
    }

    /// Builds the HTTP request for the server.
    fn build_request(&mut self, traceparent: HeaderValue) -> Request<Upstream> {
        let open = &self.open;
        let body = match self.upload.take() {
            Some(upload) if !open.whole => {
                upload.start();
                Upstream::streaming(open.body.clone(), upload, open.length)
            }
            upload => {
                self.upload = upload;
                Upstream::from_bytes(open.body.clone())
            }
        };
        let mut request = Request::new(body);
        *request.method_mut() = open.method.clone();
        let path = PathAndQuery::try_from(open.path.as_str());
        *request.uri_mut() = path.expect("checked when it arrived").into();
        *request.headers_mut() = open.headers.clone();
        let headers = request.headers_mut();
        headers.insert(TERM, self.permit.term.into());
        if let Some(place) = &open.meta.place {
            headers.insert(SLICE, place.slice.0.into());
            headers.insert(EPOCH, self.permit.epoch.into());
        }
        let left = self.deadline.since(self.held.shared.clock.now());
        headers.insert(DEADLINE, (left.as_millis() as u64).into());
        if let Ok(id) = HeaderValue::from_str(&open.meta.id)
            && !open.meta.id.is_empty()
        {
            headers.insert(REQUEST_ID, id);
        }
        headers.insert(TRACEPARENT, traceparent);
        headers.insert(HOST, self.held.backend.host());
        request
    }

    /// Reports the outcome to the holder.
    fn finish(mut self, end: End) {
        let job = self.permit.job;
        if let Ok(refusal) = self.refused.try_recv()
            && let Some(responder) = self.responder.take()
        {
            responder.refuse(Reason::Refused(refusal));
        }
        let held = self.held.clone();
        let kind = EventKind::Ended(end.text());
        held.shared.journal.add(&self.open.meta.id, Hop::Holder, kind);
        match end {
            End::Answered(answer) => {
                held.finish(job, Remainder::Nothing, Input::Answered { job, answer });
            }
            End::Shed(retry_ms) => {
                let remainder = self.reclaim(Code::Shed, retry_ms);
                held.finish(job, remainder, Input::Shed { job, retry_ms });
            }
            End::Fenced => {
                let remainder = self.reclaim(Code::Moved, 0);
                held.finish(job, remainder, Input::Fenced(job));
            }
            End::Failed(error) if error.is_sent() => {
                let remainder =
                    self.responder.take().map_or(Remainder::Nothing, Remainder::Responder);
                held.finish(job, remainder, Input::Failed { job, sent: true });
            }
            End::Failed(error) => {
                let remainder = self.reclaim(Code::NoOwner, 0);
                held.finish(job, remainder, Input::Failed { job, sent: false });
                if error.is_connect_error() {
                    held.feed(Input::Down { refused: error == CallError::Refused });
                }
            }
        }
    }

    /// Returns the request if it can be sent again; refuses it if its body has been consumed.
    fn reclaim(&mut self, code: Code, retry_ms: u32) -> Remainder {
        let Some(responder) = self.responder.take() else { return Remainder::Nothing };
        let Some(upload) = self.upload.take() else {
            responder.refuse(Reason::Refused(Refusal { code, retry_ms }));
            return Remainder::Nothing;
        };
        let open = self.open.clone();
        Remainder::Call(Box::new(Call { open, deadline: self.deadline, upload, responder }))
    }
}

/// Returns the outcome of a request that the server declared as not run.
fn parse_refusal(reason: &HeaderValue, headers: &HeaderMap) -> End {
    if reason.as_bytes() == b"fenced" {
        return End::Fenced;
    }
    let seconds = headers.get(RETRY_AFTER).and_then(|value| value.to_str().ok()?.parse().ok());
    End::Shed(seconds.map_or(0, |seconds: u32| seconds.saturating_mul(1_000)))
}
