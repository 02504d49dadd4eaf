//! The balancer's question whether the node is ready, and the metrics.

use {
    crate::{node::Node, platform::Platform},
    std::{rc::Rc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        task::spawn_local,
        time::{sleep, timeout},
    },
};

/// Longest time for a question and its answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause after a failure to accept.
pub(crate) const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Longest question, in bytes.
const MAX_QUESTION: usize = 4 << 10;

/// What a port answers.
#[derive(Debug, Clone, Copy)]
pub enum Page {
    /// Whether the node is ready.
    Ready,
    /// The metrics.
    Metrics,
}

/// Answers questions on a port for ever.
pub async fn serve<P: Platform>(node: Rc<Node<P>>, listener: TcpListener, page: Page) {
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                let node = node.clone();
                spawn_local(
                    async move { timeout(ANSWER_TIMEOUT, answer(node, socket, page)).await },
                );
            }
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// Answers one question and closes the connection.
async fn answer<P: Platform>(
    node: Rc<Node<P>>,
    mut socket: TcpStream,
    page: Page,
) -> std::io::Result<()> {
    let mut question = Vec::with_capacity(512);
    while !question.ends_with(b"\r\n\r\n") && question.len() < MAX_QUESTION {
        if socket.read_buf(&mut question).await? == 0 {
            return Ok(());
        }
    }
    let asked = String::from_utf8_lossy(&question);
    let path = asked.split(' ').nth(1).unwrap_or_default().to_owned();
    let (status, body) = match page {
        Page::Ready if path != node.platform.ready_path() => ("404 Not Found", String::new()),
        Page::Ready if node.is_ready() => ("200 OK", String::new()),
        Page::Ready => ("503 Service Unavailable", String::new()),
        Page::Metrics => ("200 OK", node.metrics.text()),
    };
    let head = format!(
        "HTTP/1.1 {status}\r\nContent-Type: text/plain; version=0.0.4\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    socket.write_all(head.as_bytes()).await?;
    socket.write_all(body.as_bytes()).await?;
    socket.shutdown().await
}
