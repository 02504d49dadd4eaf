//! A peer that sends and receives single frames, for protocol violations.

use {
    crate::rig::KEY,
    bytes::Bytes,
    futures_util::{SinkExt, StreamExt},
    hmac::{Hmac, Mac},
    prost::Message,
    sha2::Sha256,
    std::net::SocketAddr,
    tokio::net::{TcpListener, TcpStream},
    tokio_util::codec::Framed,
    whinspring_wire::{
        frame::FrameCodec,
        link::{Frame, Hello, NONCE_BYTES, PROTOCOL_VERSION, Purpose, wire},
    },
};

/// Connection on which a test sends and receives single frames.
pub struct RawPeer(Framed<TcpStream, FrameCodec<wire::Frame>>);

impl RawPeer {
    /// Connects and sends a hello with the given protocol version only.
    pub async fn say_hello(addr: SocketAddr, version: u32) {
        let socket = TcpStream::connect(addr).await.expect("listener accepts");
        let mut raw = Self(Framed::new(socket, FrameCodec::default()));
        raw.send(Frame::Hello(Hello { version, ..hello(Purpose::Control) })).await;
        let _ = raw.0.next().await;
    }

    /// Accepts one data connection as node `b`.
    pub async fn accept(listener: TcpListener) -> Self {
        let (socket, _) = listener.accept().await.expect("loopback");
        let mut raw = Self(Framed::new(socket, FrameCodec::default()));
        let Frame::Hello(theirs) = raw.next().await else { panic!("expected a hello") };
        let mine = hello(theirs.purpose);
        raw.send(Frame::Hello(mine.clone())).await;
        let Frame::Proof(_) = raw.next().await else { panic!("expected a proof") };
        let mut mac = Hmac::<Sha256>::new_from_slice(KEY).expect("HMAC accepts keys of any length");
        mac.update(&[2]);
        for hello in [theirs, mine] {
            mac.update(&wire::Hello::from(hello).encode_length_delimited_to_vec());
        }
        raw.send(Frame::Proof(Bytes::copy_from_slice(&mac.finalize().into_bytes()))).await;
        raw
    }

    /// Waits for a request for `path` and returns the number of its stream.
    pub async fn expect_open(&mut self, path: &str) -> u64 {
        loop {
            match self.next().await {
                Frame::Open(open) => {
                    assert_eq!(open.path, path);
                    return open.stream;
                }
                Frame::Ping(seq) => self.send(Frame::Pong(seq)).await,
                _ => {}
            }
        }
    }

    pub async fn send(&mut self, frame: Frame) {
        self.0.send(&wire::Frame::from(frame)).await.expect("peer reads frames");
    }

    async fn next(&mut self) -> Frame {
        let frame = self.0.next().await.expect("connection is open").expect("frame decodes");
        frame.try_into().expect("frame is valid")
    }
}

/// Returns the hello of node `b`.
fn hello(purpose: Purpose) -> Hello {
    Hello {
        version: PROTOCOL_VERSION,
        deployment: "test".into(),
        node: "b".into(),
        incarnation: 1,
        addr: ([127, 0, 0, 1], 2).into(),
        purpose,
        nonce: Bytes::from_static(&[3; NONCE_BYTES]),
    }
}
