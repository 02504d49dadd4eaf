//! Round trips of frames, and rejection of invalid ones.

use {
    bytes::{Bytes, BytesMut},
    http::{HeaderMap, HeaderValue, Method, StatusCode},
    prost::Message,
    std::time::Duration,
    tokio_util::codec::{Decoder, Encoder},
    whinspring::{
        code::Code,
        holder::{DedupEntry, DedupState, RequestId, Unit},
        name::{ServerId, Slice},
        request::{Meta, Place, Refusal, Target},
        time::Wall,
    },
    whinspring_wire::{
        frame::{FrameCodec, FrameError, MAX_FRAME_BYTES},
        link::{Frame, Handover, Head, Hello, NONCE_BYTES, Open, Purpose, Reason, wire},
    },
};

/// Returns headers with a repeated name and a value that is not UTF-8.
fn headers() -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.append("accept", HeaderValue::from_static("a"));
    headers.append("accept", HeaderValue::from_static("b"));
    headers.insert(
        "x-bytes",
        HeaderValue::from_bytes(b"\xff\xfe").expect("header values may be opaque bytes"),
    );
    headers
}

/// Returns a request with every field set.
fn open() -> Open {
    Open {
        stream: 7,
        method: Method::PATCH,
        path: "/checks/x?y=z".into(),
        headers: headers(),
        meta: Meta {
            service: "checks".into(),
            place: Some(Place { key: "".into(), slice: Slice(3) }),
            customer: "c".into(),
            id: "i".into(),
            issued: Some(Wall(5)),
            first: true,
            idempotent: false,
            fingerprint: 9,
            crashes: 1,
        },
        target: Target { node: "n".into(), incarnation: 1, server: ServerId(2), term: 3, epoch: 4 },
        left: Duration::from_micros(1_500),
        body: Bytes::from_static(b"body"),
        whole: false,
        length: Some(100),
    }
}

/// Returns the start of a response with every field but `length` set.
fn head() -> Head {
    Head {
        stream: 7,
        status: StatusCode::IM_A_TEAPOT,
        code: Code::Replayed,
        headers: headers(),
        body: Bytes::from_static(b"body"),
        whole: true,
        length: None,
        running: 1,
        queued: 2,
    }
}

fn hello() -> Hello {
    Hello {
        version: 1,
        deployment: "d".into(),
        node: "n".into(),
        incarnation: 2,
        addr: ([127, 0, 0, 1], 3).into(),
        purpose: Purpose::Data,
        nonce: Bytes::from_static(&[4; NONCE_BYTES]),
    }
}

/// Encodes and decodes a frame.
fn round_trip(frame: Frame) -> Frame {
    let mut codec = FrameCodec::<wire::Frame>::default();
    let mut bytes = BytesMut::new();
    codec.encode(&wire::Frame::from(frame), &mut bytes).expect("frame is within the limit");
    let frame = codec.decode(&mut bytes).expect("frame decodes").expect("frame is complete");
    assert!(bytes.is_empty());
    frame.try_into().expect("value is valid")
}

#[test]
fn every_frame_round_trips() {
    let refusal = Refusal { code: Code::Overloaded, retry_ms: 5 };
    let frames = [
        Frame::Hello(hello()),
        Frame::Proof(Bytes::from_static(b"proof")),
        Frame::Ping(1),
        Frame::Pong(2),
        Frame::Control { part: Bytes::from_static(b"part"), more: true },
        Frame::Open(Box::new(open())),
        Frame::Head(Box::new(head())),
        Frame::Data { stream: 1, bytes: Bytes::from_static(b"data"), last: true },
        Frame::Window { stream: 1, bytes: 2 },
        Frame::Cancel(3),
        Frame::Refuse { stream: 1, reason: Reason::Misrouted },
        Frame::Refuse { stream: 1, reason: Reason::Refused(refusal) },
        Frame::Memory { part: Bytes::from_static(b"part"), more: false },
    ];
    for frame in frames {
        let before = format!("{frame:?}");
        assert_eq!(format!("{:?}", round_trip(frame)), before);
    }
}

#[test]
fn handover_round_trips() {
    let id = RequestId { key: "k".into(), customer: "c".into(), id: "i".into() };
    let known = DedupEntry { id, fingerprint: 1, at: Wall(2), answer: Some(Bytes::new()) };
    let unknown = DedupEntry { answer: None, ..known.clone() };
    let slice = DedupState {
        unit: Unit::Slice(Slice(0)),
        epoch: 1,
        term: 2,
        epoch_closed: true,
        since: Wall(3),
        entries: vec![known, unknown],
    };
    let key = DedupState { unit: Unit::Key("k".into()), entries: Vec::new(), ..slice.clone() };
    let handover =
        Handover { service: "s".into(), server: ServerId(1), memories: vec![slice, key] };
    assert_eq!(Handover::decode(handover.clone().encode()).expect("value is valid"), handover);
    assert!(Handover::decode(Bytes::from_static(b"\xff")).is_err());
}

#[test]
fn invalid_fields_are_rejected() {
    let frame = |kind| Frame::try_from(wire::Frame { kind: Some(kind) });
    let bad_open = |change: fn(&mut wire::Open)| {
        let mut open = wire::Open::from(open());
        change(&mut open);
        frame(wire::frame::Kind::Open(open)).is_err()
    };
    assert!(bad_open(|open| open.method = "not a method".into()));
    assert!(bad_open(|open| open.path = "/a b".into()));
    assert!(bad_open(|open| open.path.clear()));
    assert!(bad_open(|open| open.meta = None));
    assert!(bad_open(|open| open.target = None));
    assert!(bad_open(|open| open.headers[0].name = Bytes::from_static(b"a\r\nb")));
    assert!(bad_open(|open| open.headers[0].value = Bytes::from_static(b"a\r\nb: c")));
    let bad_head = |change: fn(&mut wire::Head)| {
        let mut head = wire::Head::from(head());
        change(&mut head);
        frame(wire::frame::Kind::Head(head)).is_err()
    };
    assert!(bad_head(|head| head.status = 65_536 + 200));
    assert!(bad_head(|head| head.status = 42));
    assert!(bad_head(|head| head.code = 99));
    let bad_hello = |change: fn(&mut wire::Hello)| {
        let mut hello = wire::Hello::from(hello());
        change(&mut hello);
        frame(wire::frame::Kind::Hello(hello)).is_err()
    };
    assert!(bad_hello(|hello| hello.nonce = Bytes::from_static(b"short")));
    assert!(bad_hello(|hello| hello.addr = "here".into()));
    assert!(bad_hello(|hello| hello.node.clear()));
    assert!(bad_hello(|hello| hello.r#use = 9));
    assert!(Frame::try_from(wire::Frame { kind: None }).is_err());
}

#[test]
fn oversized_and_malformed_frames_are_rejected() {
    let mut codec = FrameCodec::<wire::Frame>::default();
    let large = Bytes::from(vec![0; MAX_FRAME_BYTES]);
    let frame = wire::Frame::from(Frame::Proof(large));
    let mut bytes = BytesMut::new();
    assert!(matches!(codec.encode(&frame, &mut bytes), Err(FrameError::TooLarge { .. })));
    assert!(bytes.is_empty());
    let mut long = BytesMut::from(&(MAX_FRAME_BYTES as u32 + 1).to_be_bytes()[..]);
    assert!(codec.decode(&mut long).is_err());
    let mut codec = FrameCodec::<wire::Frame>::default();
    let mut malformed = BytesMut::from(&b"\x00\x00\x00\x02\xff\xff"[..]);
    assert!(matches!(codec.decode(&mut malformed), Err(FrameError::Malformed { .. })));
    let mut partial = BytesMut::from(&frame.encode_length_delimited_to_vec()[..2]);
    assert!(matches!(FrameCodec::<wire::Frame>::default().decode(&mut partial), Ok(None)));
}
