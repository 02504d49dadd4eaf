//! `whinspring`: the operators' client.

use std::process::ExitCode;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    whinspring_cli::run(std::env::args_os()).await.into()
}
