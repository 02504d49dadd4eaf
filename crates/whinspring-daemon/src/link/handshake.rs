//! The handshake of a new connection.
//!
//! Each end sends a hello with a fresh nonce; the dialling end proves possession of the key
//! first, so that a stranger who dials learns nothing. A proof covers both hellos and the role of
//! its sender, so that it can be neither replayed nor reflected.

use {
    super::LocalNode,
    bytes::Bytes,
    futures_util::{SinkExt, StreamExt},
    hmac::{Hmac, Mac},
    prost::Message,
    sha2::Sha256,
    snafu::{OptionExt, ResultExt, Snafu, ensure},
    std::time::Duration,
    tokio::{net::TcpStream, time::timeout},
    tokio_util::codec::Framed,
    whinspring::control::Peer,
    whinspring_wire::{
        frame::{FrameCodec, FrameError},
        link::{BadFrame, Frame, Hello, NONCE_BYTES, PROTOCOL_VERSION, Purpose, wire},
    },
};

/// Longest time of a handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A connection that carries frames.
pub type Stream = Framed<TcpStream, FrameCodec<wire::Frame>>;

/// The end of a connection, as a proof covers it.
#[derive(Debug, Clone, Copy)]
enum Role {
    /// The end that opened the connection.
    Dialer = 1,
    /// The end that accepted it.
    Acceptor = 2,
}

/// Proves who this node is to the peer that it dialled, and checks who the peer is.
///
/// # Errors
///
/// Fails if the peer is no node of the deployment, or not the one that `peer` names.
pub async fn dial(
    local: &LocalNode,
    socket: TcpStream,
    peer: &Peer,
    purpose: Purpose,
) -> Result<(Stream, Hello), HandshakeError> {
    let mut stream = Framed::new(socket, FrameCodec::default());
    let hello = timeout(HANDSHAKE_TIMEOUT, dial_steps(local, &mut stream, purpose)).await;
    let hello = hello.ok().context(TimeoutSnafu)??;
    let expected = peer.name.is_empty() || peer.name == hello.node;
    ensure!(expected, WrongNodeSnafu { node: hello.node.as_str() });
    Ok((stream, hello))
}

/// Checks who dialled, and proves who this node is.
///
/// # Errors
///
/// Fails if the peer is no node of the deployment.
pub async fn accept(
    local: &LocalNode,
    socket: TcpStream,
) -> Result<(Stream, Hello), HandshakeError> {
    let mut stream = Framed::new(socket, FrameCodec::default());
    let hello = timeout(HANDSHAKE_TIMEOUT, accept_steps(local, &mut stream)).await;
    let hello = hello.ok().context(TimeoutSnafu)??;
    Ok((stream, hello))
}

/// Carries out the dialling end's steps.
async fn dial_steps(
    local: &LocalNode,
    stream: &mut Stream,
    purpose: Purpose,
) -> Result<Hello, HandshakeError> {
    let mine = hello(local, purpose);
    send(stream, Frame::Hello(mine.clone())).await?;
    let theirs = receive_hello(local, stream).await?;
    ensure!(theirs.purpose == purpose, UnexpectedSnafu);
    let keys = local.keys.current();
    let key = keys.first().context(NoKeySnafu)?;
    let proof = mac(key, Role::Dialer, &mine, &theirs).finalize().into_bytes();
    send(stream, Frame::Proof(Bytes::copy_from_slice(&proof))).await?;
    let proof = receive_proof(stream).await?;
    verify_proof(&keys, &proof, Role::Acceptor, &mine, &theirs)?;
    Ok(theirs)
}

/// Carries out the accepting end's steps.
async fn accept_steps(local: &LocalNode, stream: &mut Stream) -> Result<Hello, HandshakeError> {
    let theirs = receive_hello(local, stream).await?;
    let mine = hello(local, theirs.purpose);
    send(stream, Frame::Hello(mine.clone())).await?;
    let proof = receive_proof(stream).await?;
    let keys = local.keys.current();
    let key = verify_proof(&keys, &proof, Role::Dialer, &theirs, &mine)?;
    let proof = mac(key, Role::Acceptor, &theirs, &mine).finalize().into_bytes();
    send(stream, Frame::Proof(Bytes::copy_from_slice(&proof))).await?;
    Ok(theirs)
}

/// Builds this node's hello.
fn hello(local: &LocalNode, purpose: Purpose) -> Hello {
    let nonce: [u8; NONCE_BYTES] = rand::random();
    Hello {
        version: PROTOCOL_VERSION,
        deployment: local.deployment.clone(),
        node: local.node.clone(),
        incarnation: local.incarnation,
        addr: local.addr,
        purpose,
        nonce: Bytes::copy_from_slice(&nonce),
    }
}

/// Waits for the peer's hello and checks it.
async fn receive_hello(local: &LocalNode, stream: &mut Stream) -> Result<Hello, HandshakeError> {
    let Frame::Hello(hello) = receive(stream).await? else {
        return UnexpectedSnafu.fail();
    };
    ensure!(hello.version == PROTOCOL_VERSION, VersionSnafu { version: hello.version });
    ensure!(hello.deployment == local.deployment, UnauthenticatedSnafu);
    Ok(hello)
}

/// Waits for the peer's proof.
async fn receive_proof(stream: &mut Stream) -> Result<Bytes, HandshakeError> {
    let Frame::Proof(proof) = receive(stream).await? else {
        return UnexpectedSnafu.fail();
    };
    Ok(proof)
}

/// Sends a frame.
async fn send(stream: &mut Stream, frame: Frame) -> Result<(), HandshakeError> {
    stream.send(&wire::Frame::from(frame)).await.context(BrokenSnafu)
}

/// Waits for a frame.
async fn receive(stream: &mut Stream) -> Result<Frame, HandshakeError> {
    let frame = stream.next().await.context(ClosedSnafu)?.context(BrokenSnafu)?;
    frame.try_into().context(InvalidFrameSnafu)
}

/// Checks a proof; returns the key that it was made with.
fn verify_proof<'a>(
    keys: &'a [Vec<u8>],
    proof: &[u8],
    role: Role,
    dialer: &Hello,
    acceptor: &Hello,
) -> Result<&'a [u8], HandshakeError> {
    let matches = |key: &&Vec<u8>| mac(key, role, dialer, acceptor).verify_slice(proof).is_ok();
    let key = keys.iter().find(matches).context(UnauthenticatedSnafu)?;
    Ok(key)
}

/// Starts the code of a proof.
fn mac(key: &[u8], role: Role, dialer: &Hello, acceptor: &Hello) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("a key of any length fits");
    mac.update(&[role as u8]);
    for hello in [dialer, acceptor] {
        let bytes = wire::Hello::from(hello.clone()).encode_length_delimited_to_vec();
        mac.update(&bytes);
    }
    mac
}

/// Why a connection was not accepted.
#[derive(Debug, Snafu)]
pub enum HandshakeError {
    /// The handshake took too long.
    #[snafu(display("the handshake took too long; check that the peer is a whinspring node"))]
    Timeout,
    /// The connection was closed.
    #[snafu(display("the peer closed the connection; see its counters for the reason"))]
    Closed,
    /// The connection failed or carried no frame.
    #[snafu(display("{source}"))]
    Broken {
        /// The cause.
        source: FrameError,
    },
    /// A frame was invalid.
    #[snafu(display("{source}"))]
    InvalidFrame {
        /// The cause.
        source: BadFrame,
    },
    /// A frame came out of order.
    #[snafu(display("a frame came out of order; check the peer's version"))]
    Unexpected,
    /// The peer speaks another version.
    #[snafu(display(
        "the peer speaks version {version}, not {PROTOCOL_VERSION}; upgrade the older node"
    ))]
    Version {
        /// Version of the peer.
        version: u32,
    },
    /// The peer does not have the deployment's key.
    #[snafu(display("the peer is no node of this deployment; check its deployment and key"))]
    Unauthenticated,
    /// Another node answered at the address.
    #[snafu(display(
        "{node} answered in place of the node dialled; records will tell its address"
    ))]
    WrongNode {
        /// Node that answered.
        node: String,
    },
    /// The settings name no key.
    #[snafu(display("no deployment key; set one in the settings"))]
    NoKey,
}

impl HandshakeError {
    /// Returns the counter of this failure.
    pub fn event(&self) -> &'static str {
        match self {
            Self::Timeout => "link_handshake_timeout",
            Self::Closed => "link_handshake_closed",
            Self::Broken { .. } | Self::InvalidFrame { .. } | Self::Unexpected => "link_garbage",
            Self::Version { .. } => "link_version_mismatch",
            Self::Unauthenticated | Self::NoKey => "link_stranger",
            Self::WrongNode { .. } => "link_wrong_node",
        }
    }
}
