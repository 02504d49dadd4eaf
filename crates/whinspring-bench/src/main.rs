//! Command line of the experiments.

use {
    clap::{Arg, ArgMatches, Command, value_parser},
    std::{path::PathBuf, process::ExitCode},
    tokio::signal::unix::{SignalKind, signal},
    whinspring_bench::{demo, faults, path},
};

fn main() -> ExitCode {
    let matches = arguments().get_matches();
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cannot start the async runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    if runtime.block_on(run_or_stop(&matches)) { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Runs an experiment until it ends or SIGTERM or SIGINT arrives. Its child processes are killed
/// when their handles are dropped.
async fn run_or_stop(matches: &ArgMatches) -> bool {
    let Ok(mut terminate) = signal(SignalKind::terminate()) else {
        return run(matches).await;
    };
    tokio::select! {
        passed = run(matches) => passed,
        _ = terminate.recv() => false,
        _ = tokio::signal::ctrl_c() => false,
    }
}

fn arguments() -> Command {
    let seed = Arg::new("seed")
        .long("seed")
        .value_name("N")
        .default_value("1")
        .value_parser(value_parser!(u64))
        .help("Random seed");
    let keep = Arg::new("keep")
        .long("keep")
        .value_name("DIR")
        .value_parser(value_parser!(PathBuf))
        .help("Directory to keep settings and logs in");
    let daemons = Arg::new("daemons")
        .long("daemons")
        .value_name("N")
        .value_parser(value_parser!(usize))
        .help("Measure only this number of daemons");
    let seeds = Arg::new("seeds")
        .long("seeds")
        .value_name("M")
        .default_value("1")
        .value_parser(value_parser!(u64))
        .help("Number of consecutive seeds, starting with --seed");
    let case = Arg::new("case").long("case").value_name("NAME").help("Run only this case");
    let experiment = |name: &'static str, about: &'static str| {
        Command::new(name).about(about).arg(seed.clone()).arg(keep.clone())
    };
    Command::new("whinspring-bench")
        .about("Experiments over real processes")
        .subcommand_required(true)
        .subcommand(
            experiment("faults", "Fault injection under traffic, checked against the run logs")
                .arg(seeds)
                .arg(case),
        )
        .subcommand(experiment("demo", "Start of a deployment, then loss of a server and a daemon"))
        .subcommand(
            experiment("path", "Throughput, added latency and memory of the end-to-end path")
                .arg(daemons),
        )
}

/// Runs the selected experiment; returns whether it passed.
async fn run(matches: &ArgMatches) -> bool {
    let Some((name, matches)) = matches.subcommand() else {
        return false;
    };
    let seed = *matches.get_one("seed").expect("has a default");
    let keep = matches.get_one::<PathBuf>("keep").map(PathBuf::as_path);
    let result = match name {
        "demo" => demo::run(seed, keep).await,
        "faults" => {
            let seeds = *matches.get_one("seeds").expect("has a default");
            let case = matches.get_one::<String>("case").map(String::as_str);
            faults::run(seed, seeds, case, keep).await
        }
        "path" => path::run(seed, keep, matches.get_one("daemons").copied()).await,
        _ => Ok(false),
    };
    result.unwrap_or_else(|error| {
        eprintln!("error: {error}");
        false
    })
}
