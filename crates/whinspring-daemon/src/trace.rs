//! W3C trace context propagation.

use {
    fastrace::{
        Span,
        collector::{SpanContext, SpanId},
    },
    http::{HeaderMap, HeaderValue},
    whinspring_http::headers::TRACEPARENT,
};

/// Returns the trace context of a request, or a new one if it has none.
pub fn parse_context(headers: &HeaderMap) -> SpanContext {
    let header = headers.get(TRACEPARENT).and_then(|value| value.to_str().ok());
    header.and_then(SpanContext::decode_w3c_traceparent).unwrap_or_else(SpanContext::random)
}

/// Returns the `traceparent` header that propagates the context of `span`.
///
/// If spans are not collected, the trace continues with a random span id.
pub fn traceparent(span: &Span, parent: SpanContext) -> HeaderValue {
    let context = SpanContext::from_span(span);
    let context = context.unwrap_or(SpanContext { span_id: SpanId::random(), ..parent });
    let text = context.encode_w3c_traceparent();
    HeaderValue::from_str(&text).expect("a trace context is visible ASCII")
}
