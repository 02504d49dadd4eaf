//! TCP relay with fault injection as a program.
//!
//! Reads commands from standard input, one per line: `cut`, `stall`, `block`, `pass`, `delay MS`.
//! Responds to each with `ok`, or with `?` if it is not a valid command.

use {
    clap::{Arg, Command, value_parser},
    std::{
        io::{self, Write},
        net::SocketAddr,
        time::Duration,
    },
    tokio::io::{AsyncBufReadExt, BufReader},
    whinspring_standin::{command, relay::Relay},
};

fn main() -> io::Result<()> {
    let matches = Command::new("whinspring-standin-relay")
        .about("TCP relay that closes, stalls, blocks or delays connections")
        .arg(command::listen_arg())
        .arg(command::threads_arg())
        .arg(
            Arg::new("target")
                .long("target")
                .value_name("ADDR")
                .required(true)
                .value_parser(value_parser!(SocketAddr))
                .help("Address to forward connections to"),
        )
        .get_matches();
    let listen = *matches.get_one("listen").expect("has a default");
    let target = *matches.get_one("target").expect("is required");
    let threads = *matches.get_one("threads").expect("has a default");
    command::block_on(threads, relay(listen, target))
}

/// Runs a relay until the end of standard input.
async fn relay(listen: SocketAddr, target: SocketAddr) -> io::Result<()> {
    let relay = Relay::start(listen, target).await?;
    command::print_address(relay.addr)?;
    let mut lines = BufReader::new(tokio::io::stdin()).lines();
    while let Some(line) = lines.next_line().await? {
        let reply = if execute(&relay, &line) { "ok" } else { "?" };
        let mut out = io::stdout();
        writeln!(out, "{reply}")?;
        out.flush()?;
    }
    relay.close().await;
    Ok(())
}

/// Executes one command; returns whether it is valid.
fn execute(relay: &Relay, line: &str) -> bool {
    let mut words = line.split_whitespace();
    match (words.next(), words.next().and_then(|ms| ms.parse().ok())) {
        (Some("cut"), None) => relay.cut(),
        (Some("stall"), None) => relay.stall(),
        (Some("block"), None) => relay.block(true),
        (Some("pass"), None) => relay.block(false),
        (Some("delay"), Some(ms)) => relay.delay(Duration::from_millis(ms)),
        _ => return false,
    }
    true
}
