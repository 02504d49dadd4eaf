//! Command line arguments and start-up code shared by the stand-in programs.

use {
    crate::http::RunningServer,
    clap::{Arg, value_parser},
    std::{
        io::{self, Write},
        net::SocketAddr,
    },
};

/// Returns the `--listen` argument; port 0 binds to a free port.
pub fn listen_arg() -> Arg {
    Arg::new("listen")
        .long("listen")
        .value_name("ADDR")
        .default_value("127.0.0.1:0")
        .value_parser(value_parser!(SocketAddr))
        .help("Address to listen on; port 0 selects a free port")
}

/// Returns an argument with an unsigned integer value.
pub fn number_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .default_value(default)
        .value_parser(value_parser!(u64))
        .help(help)
}

/// Prints `listening ADDR`, from which the parent process reads the bound address.
pub fn print_address(addr: SocketAddr) -> io::Result<()> {
    let mut out = io::stdout();
    writeln!(out, "listening {addr}")?;
    out.flush()
}

/// Prints the address of a server and serves it until the process exits.
pub async fn serve(running: RunningServer) -> io::Result<()> {
    print_address(running.addr)?;
    running.wait().await;
    Ok(())
}

pub fn threads_arg() -> Arg {
    number_arg("threads", "2", "Worker threads")
}

/// Runs a future on a runtime with `threads` worker threads, at least one.
pub fn block_on<T>(threads: u64, future: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    let threads = usize::try_from(threads).unwrap_or(1).max(1);
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    builder.worker_threads(threads).enable_all().build()?.block_on(future)
}
