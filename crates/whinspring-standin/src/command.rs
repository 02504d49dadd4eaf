//! What the stand-ins' command lines share.

use {
    crate::http::RunningServer,
    clap::{Arg, value_parser},
    std::{
        io::{self, Write},
        net::SocketAddr,
    },
};

/// Returns the `--listen` argument; port 0 takes a free port.
pub fn listen_arg() -> Arg {
    Arg::new("listen")
        .long("listen")
        .value_name("ADDR")
        .default_value("127.0.0.1:0")
        .value_parser(value_parser!(SocketAddr))
        .help("Address to listen on; port 0 takes a free port")
}

/// Returns an argument that takes a number.
pub fn number_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .default_value(default)
        .value_parser(value_parser!(u64))
        .help(help)
}

/// Prints the first line of a stand-in: the address it listens on.
pub fn print_address(addr: SocketAddr) -> io::Result<()> {
    let mut out = io::stdout();
    writeln!(out, "listening {addr}")?;
    out.flush()
}

/// Announces a listener and serves it until the process ends.
pub async fn serve(running: RunningServer) -> io::Result<()> {
    print_address(running.addr)?;
    running.wait().await;
    Ok(())
}

/// Returns the `--threads` argument.
pub fn threads_arg() -> Arg {
    number_arg("threads", "2", "Threads that serve connections")
}

/// Runs a stand-in on `threads` threads.
pub fn block_on<T>(threads: u64, future: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    let threads = usize::try_from(threads).unwrap_or(1).max(1);
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    builder.worker_threads(threads).enable_all().build()?.block_on(future)
}
