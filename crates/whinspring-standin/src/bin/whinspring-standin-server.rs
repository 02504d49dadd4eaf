//! Backend server stand-in as a program.

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
    command::block_on(threads, async { command::serve(server::start(options).await?).await })
}

fn arguments() -> Command {
    Command::new("whinspring-standin-server")
        .about("Stand-in for a backend server")
        .arg(command::listen_arg())
        .arg(command::threads_arg())
        .arg(text_arg("name", "Name used in responses and in the run log").default_value("server"))
        .arg(flag_arg("fenced", "Check fencing terms and grants"))
        .arg(command::number_arg("slots", "2", "Requests run at once"))
        .arg(command::number_arg("conns", "100", "Connections served at once"))
        .arg(millis_arg("work-ms", "0", "Service time; the timer resolution is 1 ms"))
        .arg(millis_arg("probe-ms", "5", "Duration of a probe"))
        .arg(millis_arg("cold-ms", "0", "Time after the start during which requests are slower"))
        .arg(millis_arg("latency-ms", "0", "Latency added before handling and before responding"))
        .arg(
            text_arg("shed-above", "Queued requests above which load is shed")
                .value_parser(value_parser!(u64)),
        )
        .arg(flag_arg("lie", "Always report zero load"))
        .arg(text_arg("crash-on", "Text in a path or body that makes the process abort"))
        .arg(text_arg("key-header", "Header that carries the key").default_value("x-key"))
        .arg(
            text_arg("run-log", "File to append the run log to")
                .value_parser(value_parser!(PathBuf)),
        )
}

fn options(matches: &ArgMatches) -> Options {
    Options {
        listen: get(matches, "listen"),
        name: get(matches, "name"),
        fenced: matches.get_flag("fenced"),
        slots: get::<u64>(matches, "slots") as usize,
        conns: get::<u64>(matches, "conns") as usize,
        work: duration(matches, "work-ms"),
        probe: duration(matches, "probe-ms"),
        cold: duration(matches, "cold-ms"),
        latency: duration(matches, "latency-ms"),
        shed_above: matches.get_one::<u64>("shed-above").map(|limit| *limit as usize),
        zero_load: matches.get_flag("lie"),
        crash_on: matches.get_one("crash-on").cloned(),
        key_header: get(matches, "key-header"),
        run_log: matches.get_one("run-log").cloned(),
    }
}

/// Returns an argument with a text value.
fn text_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name("TEXT").help(help)
}

/// Returns an argument with a value in milliseconds, which may be fractional.
fn millis_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    let parser = value_parser!(f64);
    Arg::new(name)
        .long(name)
        .value_name("MS")
        .default_value(default)
        .value_parser(parser)
        .help(help)
}

fn flag_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).action(ArgAction::SetTrue).help(help)
}

/// Returns the value of an argument that has a default.
fn get<T: Any + Clone + Send + Sync>(matches: &ArgMatches, name: &str) -> T {
    matches.get_one::<T>(name).expect("has a default").clone()
}

/// Returns the duration given in milliseconds; negative values count as zero.
fn duration(matches: &ArgMatches, name: &str) -> Duration {
    Duration::from_secs_f64(get::<f64>(matches, name).max(0.0) / 1e3)
}
