//! Stand-in for a backend server as a process of its own.

use {
    clap::{Arg, ArgAction, ArgMatches, Command, value_parser},
    std::{any::Any, io, path::PathBuf, time::Duration},
    whinspring_standin::{
        command,
        server::{self, Options},
    },
};

fn main() -> io::Result<()> {
    let matches = arguments().get_matches();
    let options = options(&matches);
    let threads = get(&matches, "threads");
    command::block_on(threads, async { command::run(server::start(options).await?).await })
}

/// Returns the command line.
fn arguments() -> Command {
    Command::new("whinspring-standin-server")
        .about("Stand-in for a backend server")
        .arg(command::listen())
        .arg(command::threads())
        .arg(text("name", "Name used in answers and in the run log").default_value("server"))
        .arg(flag("fenced", "Check fencing terms and grants"))
        .arg(command::number("slots", "2", "Work run at once"))
        .arg(command::number("conns", "100", "Connections served at once"))
        .arg(millis("work-ms", "0", "Service time; the timer's step is 1 ms"))
        .arg(millis("probe-ms", "5", "Time of a probe"))
        .arg(millis("cold-ms", "0", "Time from the start during which work is slower"))
        .arg(millis("latency-ms", "0", "Latency added each way"))
        .arg(
            text("shed-above", "Queued work above which it sheds load")
                .value_parser(value_parser!(u64)),
        )
        .arg(flag("lie", "Report no load"))
        .arg(text("crash-on", "Text in path or body that aborts the process"))
        .arg(text("key-header", "Header that carries the key").default_value("x-key"))
        .arg(text("run-log", "File to append the run log to").value_parser(value_parser!(PathBuf)))
}

/// Reads the command line.
fn options(matches: &ArgMatches) -> Options {
    Options {
        listen: get(matches, "listen"),
        name: get(matches, "name"),
        fenced: matches.get_flag("fenced"),
        slots: get::<u64>(matches, "slots") as usize,
        conns: get::<u64>(matches, "conns") as usize,
        work: time(matches, "work-ms"),
        probe: time(matches, "probe-ms"),
        cold: time(matches, "cold-ms"),
        latency: time(matches, "latency-ms"),
        shed_above: matches.get_one::<u64>("shed-above").map(|limit| *limit as usize),
        lie: matches.get_flag("lie"),
        crash_on: matches.get_one("crash-on").cloned(),
        key_header: get(matches, "key-header"),
        run_log: matches.get_one("run-log").cloned(),
    }
}

/// Returns an argument that takes a text.
fn text(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name("TEXT").help(help)
}

/// Returns an argument that takes milliseconds, also a fraction.
fn millis(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    let parser = value_parser!(f64);
    Arg::new(name)
        .long(name)
        .value_name("MS")
        .default_value(default)
        .value_parser(parser)
        .help(help)
}

/// Returns a flag.
fn flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).action(ArgAction::SetTrue).help(help)
}

/// Returns an argument that has a default.
fn get<T: Any + Clone + Send + Sync>(matches: &ArgMatches, name: &str) -> T {
    matches.get_one::<T>(name).expect("has a default").clone()
}

/// Returns a time given in milliseconds.
fn time(matches: &ArgMatches, name: &str) -> Duration {
    Duration::from_secs_f64(get::<f64>(matches, name).max(0.0) / 1e3)
}
