//! Conversions between frames and their wire types.

use {
    super::{
        BadFrame, BadFrameSnafu, Frame, Head, Hello, NONCE_BYTES, Open, Purpose, Reason, wire,
    },
    bytes::Bytes,
    http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, uri::PathAndQuery},
    snafu::{OptionExt, ensure},
    std::time::Duration,
    whinspring::{
        code::Code,
        name::{ServerId, Slice},
        request::{Meta, Place, Refusal, Target},
        time::Wall,
    },
    wire::frame::Kind,
};

impl From<Frame> for wire::Frame {
    fn from(frame: Frame) -> Self {
        let kind = match frame {
            Frame::Hello(hello) => Kind::Hello(hello.into()),
            Frame::Proof(mac) => Kind::Proof(wire::Proof { mac }),
            Frame::Ping(seq) => Kind::Ping(wire::Ping { seq }),
            Frame::Pong(seq) => Kind::Pong(wire::Pong { seq }),
            Frame::Control { part, more } => Kind::Control(wire::Control { part, more }),
            Frame::Open(open) => Kind::Open((*open).into()),
            Frame::Head(head) => Kind::Head((*head).into()),
            Frame::Data { stream, bytes, last } => Kind::Data(wire::Data { stream, bytes, last }),
            Frame::Window { stream, bytes } => Kind::Window(wire::Window { stream, bytes }),
            Frame::Cancel(stream) => Kind::Cancel(wire::Cancel { stream }),
            Frame::Refuse { stream, reason } => Kind::Refuse(encode_refusal(stream, reason)),
            Frame::Memory { part, more } => Kind::Memory(wire::Memory { part, more }),
        };
        Self { kind: Some(kind) }
    }
}

impl TryFrom<wire::Frame> for Frame {
    type Error = BadFrame;

    fn try_from(frame: wire::Frame) -> Result<Self, BadFrame> {
        let frame = match frame.kind.context(BadFrameSnafu { field: "kind" })? {
            Kind::Hello(hello) => Self::Hello(hello.try_into()?),
            Kind::Proof(proof) => Self::Proof(proof.mac),
            Kind::Ping(ping) => Self::Ping(ping.seq),
            Kind::Pong(pong) => Self::Pong(pong.seq),
            Kind::Control(control) => Self::Control { part: control.part, more: control.more },
            Kind::Open(open) => Self::Open(Box::new(open.try_into()?)),
            Kind::Head(head) => Self::Head(Box::new(head.try_into()?)),
            Kind::Data(data) => {
                Self::Data { stream: data.stream, bytes: data.bytes, last: data.last }
            }
            Kind::Window(window) => Self::Window { stream: window.stream, bytes: window.bytes },
            Kind::Cancel(cancel) => Self::Cancel(cancel.stream),
            Kind::Refuse(refuse) => {
                Self::Refuse { stream: refuse.stream, reason: decode_reason(&refuse)? }
            }
            Kind::Memory(memory) => Self::Memory { part: memory.part, more: memory.more },
        };
        Ok(frame)
    }
}

impl From<Hello> for wire::Hello {
    fn from(hello: Hello) -> Self {
        let purpose = match hello.purpose {
            Purpose::Control => wire::Use::Control,
            Purpose::Data => wire::Use::Data,
        };
        Self {
            version: hello.version,
            deployment: hello.deployment.into(),
            node: hello.node.into(),
            incarnation: hello.incarnation,
            addr: hello.addr.to_string(),
            r#use: purpose.into(),
            nonce: hello.nonce,
        }
    }
}

impl TryFrom<wire::Hello> for Hello {
    type Error = BadFrame;

    fn try_from(hello: wire::Hello) -> Result<Self, BadFrame> {
        let purpose = match hello.r#use() {
            wire::Use::Control => Purpose::Control,
            wire::Use::Data => Purpose::Data,
            wire::Use::Unspecified => return BadFrameSnafu { field: "use" }.fail(),
        };
        ensure!(hello.nonce.len() == NONCE_BYTES, BadFrameSnafu { field: "nonce" });
        ensure!(!hello.node.is_empty(), BadFrameSnafu { field: "node" });
        let addr = hello.addr.parse().ok().context(BadFrameSnafu { field: "addr" })?;
        Ok(Self {
            version: hello.version,
            deployment: hello.deployment.into(),
            node: hello.node.into(),
            incarnation: hello.incarnation,
            addr,
            purpose,
            nonce: hello.nonce,
        })
    }
}

impl From<Open> for wire::Open {
    fn from(open: Open) -> Self {
        Self {
            stream: open.stream,
            method: open.method.as_str().to_owned(),
            path: open.path.into(),
            headers: header_list(open.headers),
            meta: Some(open.meta.into()),
            target: Some(open.target.into()),
            left_us: open.left.as_micros() as u64,
            body: open.body,
            whole: open.whole,
            length: open.length,
        }
    }
}

impl TryFrom<wire::Open> for Open {
    type Error = BadFrame;

    fn try_from(open: wire::Open) -> Result<Self, BadFrame> {
        let method = Method::from_bytes(open.method.as_bytes());
        let path = PathAndQuery::try_from(open.path.as_str());
        ensure!(path.is_ok(), BadFrameSnafu { field: "path" });
        Ok(Self {
            stream: open.stream,
            method: method.ok().context(BadFrameSnafu { field: "method" })?,
            path: open.path.into(),
            headers: header_map(open.headers)?,
            meta: open.meta.context(BadFrameSnafu { field: "meta" })?.into(),
            target: open.target.context(BadFrameSnafu { field: "target" })?.into(),
            left: Duration::from_micros(open.left_us),
            body: open.body,
            whole: open.whole,
            length: open.length,
        })
    }
}

impl From<Head> for wire::Head {
    fn from(head: Head) -> Self {
        Self {
            stream: head.stream,
            status: head.status.as_u16().into(),
            code: (head.code as u16).into(),
            headers: header_list(head.headers),
            body: head.body,
            whole: head.whole,
            length: head.length,
            running: head.running,
            queued: head.queued,
        }
    }
}

impl TryFrom<wire::Head> for Head {
    type Error = BadFrame;

    fn try_from(head: wire::Head) -> Result<Self, BadFrame> {
        let status = u16::try_from(head.status).ok();
        let status = status.and_then(|status| StatusCode::from_u16(status).ok());
        Ok(Self {
            stream: head.stream,
            status: status.context(BadFrameSnafu { field: "status" })?,
            code: decode_code(head.code)?,
            headers: header_map(head.headers)?,
            body: head.body,
            whole: head.whole,
            length: head.length,
            running: head.running,
            queued: head.queued,
        })
    }
}

impl From<Meta> for wire::Meta {
    fn from(meta: Meta) -> Self {
        let keyed = meta.place.is_some();
        let (key, slice) = match meta.place {
            Some(place) => (place.key.into(), place.slice.0),
            None => (String::new(), 0),
        };
        Self {
            service: meta.service.into(),
            keyed,
            key,
            slice,
            customer: meta.customer.into(),
            id: meta.id.into(),
            issued_ms: meta.issued.map(|wall| wall.0),
            first: meta.first,
            repeatable: meta.idempotent,
            print: meta.fingerprint,
            deaths: meta.crashes,
        }
    }
}

impl From<wire::Meta> for Meta {
    fn from(meta: wire::Meta) -> Self {
        let place = meta.keyed.then(|| Place { key: meta.key.into(), slice: Slice(meta.slice) });
        Self {
            service: meta.service.into(),
            place,
            customer: meta.customer.into(),
            id: meta.id.into(),
            issued: meta.issued_ms.map(Wall),
            first: meta.first,
            idempotent: meta.repeatable,
            fingerprint: meta.print,
            crashes: meta.deaths,
        }
    }
}

impl From<Target> for wire::Target {
    fn from(target: Target) -> Self {
        Self {
            node: target.node.into(),
            incarnation: target.incarnation,
            server: target.server.0,
            term: target.term,
            epoch: target.epoch,
        }
    }
}

impl From<wire::Target> for Target {
    fn from(target: wire::Target) -> Self {
        Self {
            node: target.node.into(),
            incarnation: target.incarnation,
            server: ServerId(target.server),
            term: target.term,
            epoch: target.epoch,
        }
    }
}

/// Encodes a refusal; code 0 means that the stream was misrouted.
fn encode_refusal(stream: u64, reason: Reason) -> wire::Refuse {
    match reason {
        Reason::Misrouted => wire::Refuse { stream, code: 0, retry_ms: 0 },
        Reason::Refused(refusal) => {
            wire::Refuse { stream, code: (refusal.code as u16).into(), retry_ms: refusal.retry_ms }
        }
    }
}

fn decode_reason(refuse: &wire::Refuse) -> Result<Reason, BadFrame> {
    if refuse.code == 0 {
        return Ok(Reason::Misrouted);
    }
    Ok(Reason::Refused(Refusal { code: decode_code(refuse.code)?, retry_ms: refuse.retry_ms }))
}

fn decode_code(number: u32) -> Result<Code, BadFrame> {
    let number = u16::try_from(number).ok();
    number.and_then(Code::from_number).context(BadFrameSnafu { field: "code" })
}

/// Converts a header map into a list.
///
/// The map yields a name only for the first of its values; `None` repeats the previous name.
fn header_list(map: HeaderMap) -> Vec<wire::Header> {
    let mut list: Vec<wire::Header> = Vec::with_capacity(map.len());
    for (name, value) in map {
        let name = match name {
            Some(name) => Bytes::copy_from_slice(name.as_str().as_bytes()),
            None => list.last().map(|header| header.name.clone()).unwrap_or_default(),
        };
        list.push(wire::Header { name, value: Bytes::from_owner(value) });
    }
    list
}

fn header_map(list: Vec<wire::Header>) -> Result<HeaderMap, BadFrame> {
    let mut map = HeaderMap::with_capacity(list.len());
    for header in list {
        let name = HeaderName::from_bytes(&header.name).ok();
        let name = name.context(BadFrameSnafu { field: "header name" })?;
        let value = HeaderValue::from_maybe_shared(header.value).ok();
        let value = value.context(BadFrameSnafu { field: "header value" })?;
        map.append(name, value);
    }
    Ok(map)
}
