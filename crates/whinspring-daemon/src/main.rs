//! `whinspringd`: the daemon that runs on every entry VM.

use {
    clap::{Arg, Command, crate_version, value_parser},
    std::{
        fs,
        path::{Path, PathBuf},
        process::ExitCode,
    },
    whinspring::settings::Settings,
    whinspring_daemon::{daemon, keys},
};

/// Exit code for settings that cannot be read or are not valid.
const BAD_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let args = command().get_matches();
    if let Some(file) = args.get_one::<PathBuf>("check") {
        return check(file);
    }
    let file: &PathBuf = args.get_one("config").expect("clap requires it");
    let Some(settings) = read_settings(file) else { return ExitCode::from(BAD_SETTINGS) };
    match daemon::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("whinspringd: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Returns the command line.
fn command() -> Command {
    Command::new("whinspringd")
        .version(crate_version!())
        .about("Routes requests to servers that own keys exclusively")
        .arg(
            Arg::new("config")
                .long("config")
                .short('c')
                .value_name("FILE")
                .help("Settings of this node")
                .value_parser(value_parser!(PathBuf))
                .required_unless_present("check"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .value_name("FILE")
                .help("Check settings and key file, list every fault and exit")
                .value_parser(value_parser!(PathBuf))
                .conflicts_with("config"),
        )
}

/// Validates the settings and the key file that they name.
fn check(file: &Path) -> ExitCode {
    let Some(settings) = read_settings(file) else { return ExitCode::from(BAD_SETTINGS) };
    if let Err(error) = keys::read(&settings.node.secret) {
        eprintln!("{}: {error}", file.display());
        return ExitCode::from(BAD_SETTINGS);
    }
    println!("{}: no faults", file.display());
    ExitCode::SUCCESS
}

/// Reads the settings; prints every error to standard error and returns `None` if there is one.
fn read_settings(file: &Path) -> Option<Settings> {
    let text = match fs::read_to_string(file) {
        Ok(text) => text,
        Err(error) => {
            eprintln!("{}: {error}; name a readable file with --config", file.display());
            return None;
        }
    };
    match Settings::parse(&text) {
        Ok(settings) => Some(settings),
        Err(faults) => {
            for fault in faults {
                eprintln!("{}: {fault}", file.display());
            }
            None
        }
    }
}
