//! Platform stand-in as a program.

use {
    clap::Command,
    std::io,
    whinspring_standin::{
        command,
        platform::{self, Options},
    },
};

fn main() -> io::Result<()> {
    let matches = Command::new("whinspring-standin-platform")
        .about("Stand-in for the platform's object API")
        .arg(command::listen_arg())
        .arg(command::threads_arg())
        .arg(command::number_arg("history", "10000", "Past revisions from which a watch can start"))
        .arg(command::number_arg("seed", "0", "Seed of the random choice of lost responses"))
        .get_matches();
    let options = Options {
        listen: *matches.get_one("listen").expect("has a default"),
        history: *matches.get_one("history").expect("has a default"),
        seed: *matches.get_one("seed").expect("has a default"),
    };
    let threads = *matches.get_one("threads").expect("has a default");
    command::block_on(threads, async { command::serve(platform::start(options).await?).await })
}
