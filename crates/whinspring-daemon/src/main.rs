//! `whinspringd`: the daemon that runs on every entry VM.

use {
    clap::{Arg, ArgAction, Command, crate_version, value_parser},
    std::{fs, path::PathBuf, process::ExitCode},
    whinspring::settings::Settings,
    whinspring_daemon::daemon,
};

/// Exit code for settings that cannot be read or are not valid.
const BAD_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let args = command().get_matches();
    let file: &PathBuf = args.get_one("config").expect("clap requires it");
    let Some(settings) = read(file) else { return ExitCode::from(BAD_SETTINGS) };
    if args.get_flag("check") {
        println!("{}: no faults", file.display());
        return ExitCode::SUCCESS;
    }
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
                .required(true),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .help("Check the settings, list every fault and exit")
                .action(ArgAction::SetTrue),
        )
}

/// Reads the settings; prints every fault.
fn read(file: &PathBuf) -> Option<Settings> {
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
