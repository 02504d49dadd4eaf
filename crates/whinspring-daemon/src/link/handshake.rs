//! The handshake of a new connection.
//!
//! Each end sends a hello with a fresh nonce, then a proof: an HMAC with the deployment key. The
//! dialer sends its proof first, so that an unauthenticated client never obtains one. A proof
//! covers both hellos and the role of its sender, so it can be neither replayed nor reflected.

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

const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(1_000);

pub type Stream = Framed<TcpStream, FrameCodec<wire::Frame>>;

/// Role of an end of the connection, included in its proof.
#[derive(Debug, Clone, Copy)]
enum Role {
    Dialer = 1,
    Acceptor = 2,
}

/// Performs the handshake on a connection that this node opened.
///
/// # Errors
///
/// Fails if the peer is not authenticated as a node of the deployment, or is not the node that
/// `peer` names.
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

/// Performs the handshake on a connection that this node accepted.
///
/// # Errors
///
/// Fails if the peer is not authenticated as a node of the deployment.
pub async fn accept(
    local: &LocalNode,
    socket: TcpStream,
) -> Result<(Stream, Hello), HandshakeError> {
    let mut stream = Framed::new(socket, FrameCodec::default());
    let hello = timeout(HANDSHAKE_TIMEOUT, accept_steps(local, &mut stream)).await;
    let hello = hello.ok().context(TimeoutSnafu)??;
    Ok((stream, hello))
}

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

/// Receives the peer's hello and checks its protocol version and deployment.
async fn receive_hello(local: &LocalNode, stream: &mut Stream) -> Result<Hello, HandshakeError> {
    let Frame::Hello(hello) = receive(stream).await? else {
        return UnexpectedSnafu.fail();
    };
    ensure!(hello.version == PROTOCOL_VERSION, VersionSnafu { version: hello.version });
    ensure!(hello.deployment == local.deployment, UnauthenticatedSnafu);
    Ok(hello)
}

async fn receive_proof(stream: &mut Stream) -> Result<Bytes, HandshakeError> {
    let Frame::Proof(proof) = receive(stream).await? else {
        return UnexpectedSnafu.fail();
    };
    Ok(proof)
}

async fn send(stream: &mut Stream, frame: Frame) -> Result<(), HandshakeError> {
    stream.send(&wire::Frame::from(frame)).await.context(BrokenSnafu)
}

async fn receive(stream: &mut Stream) -> Result<Frame, HandshakeError> {
    let frame = stream.next().await.context(ClosedSnafu)?.context(BrokenSnafu)?;
    frame.try_into().context(InvalidFrameSnafu)
}

/// Verifies a proof against each key; returns the key that matches.
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

/// Computes the HMAC of a proof over the role and both hellos.
fn mac(key: &[u8], role: Role, dialer: &Hello, acceptor: &Hello) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC accepts keys of any length");
    mac.update(&[role as u8]);
    for hello in [dialer, acceptor] {
        let bytes = wire::Hello::from(hello.clone()).encode_length_delimited_to_vec();
        mac.update(&bytes);
    }
    mac
}

/// Error of a handshake.
#[derive(Debug, Snafu)]
pub enum HandshakeError {
    /// The peer did not complete the handshake in time.
    #[snafu(display(
        "handshake did not complete within {HANDSHAKE_TIMEOUT:?}; check that the peer is a \
         whinspring node"
    ))]
    Timeout,
    /// The peer closed the connection during the handshake.
    #[snafu(display(
        "the peer closed the connection during the handshake; see its link counters for the \
         reason"
    ))]
    Closed,
    /// The connection failed or a frame could not be decoded.
    #[snafu(display("{source}"))]
    Broken { source: FrameError },
    /// A frame had a missing or invalid field.
    #[snafu(display("{source}"))]
    InvalidFrame { source: BadFrame },
    /// The peer sent another frame than the handshake requires at this point.
    #[snafu(display("unexpected frame during the handshake; check the peer's version"))]
    Unexpected,
    /// The protocol versions differ.
    #[snafu(display(
        "the peer uses protocol version {version}, expected {PROTOCOL_VERSION}; upgrade the \
         older node"
    ))]
    Version { version: u32 },
    /// The peer named another deployment or failed to prove possession of a deployment key.
    #[snafu(display(
        "the peer is not authenticated for this deployment; check its `deployment` and key"
    ))]
    Unauthenticated,
    /// Another node than expected answered at the address.
    #[snafu(display(
        "expected another node at this address, but {node} answered; the records will give the \
         new address"
    ))]
    WrongNode { node: String },
    /// No deployment key is configured.
    #[snafu(display("no deployment key is configured; set `key` or `key_file`"))]
    NoKey,
}

impl HandshakeError {
    /// Returns the counter that is incremented for this error.
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
