//! Precedence of options: flag, environment variable, file.

use {
    std::fs,
    whinspring_cli::{
        command,
        error::Error,
        exit::Exit,
        options::{NODE_VARIABLE, Options, PLATFORM_VARIABLE},
    },
};

/// Reads the options of a command line with the given environment variables.
fn read_options(line: &[&str], variables: &[(&str, &str)]) -> Result<Options, Error> {
    let line = ["whinspring"].iter().chain(line).chain(&["status"]);
    let matches = command::command().try_get_matches_from(line).unwrap();
    let variable = |name: &str| {
        let found = variables.iter().find(|(known, _)| *known == name);
        found.map(|(_, value)| value.to_string())
    };
    Options::read(&matches, variable)
}

/// Writes a configuration file and returns its path.
fn write_config(name: &str, text: &str) -> String {
    let path = format!("{}/{name}.ini", env!("CARGO_TARGET_TMPDIR"));
    fs::write(&path, text).unwrap();
    path
}

#[test]
fn flag_variable_and_file() {
    let path =
        write_config("client", "[client]\nplatform = 10.0.0.1:1\nnodes = 10.0.0.1:2, 10.0.0.1:3\n");
    let variables = [(PLATFORM_VARIABLE, "http://10.0.0.2:1"), (NODE_VARIABLE, "10.0.0.2:2")];
    let platform = |options: &Options| options.platform().unwrap().to_string();

    let from_file = read_options(&["--config", &path], &[]).unwrap();
    assert_eq!(platform(&from_file), "10.0.0.1:1");
    assert_eq!(from_file.nodes().unwrap().len(), 2);

    let from_variables = read_options(&["--config", &path], &variables).unwrap();
    assert_eq!(platform(&from_variables), "10.0.0.2:1");
    assert_eq!(from_variables.nodes().unwrap().len(), 1);

    let line = ["--platform", "10.0.0.3:1", "--node", "10.0.0.3:2", "--node", "10.0.0.3:3"];
    let from_flags = read_options(&line, &variables).unwrap();
    assert_eq!(platform(&from_flags), "10.0.0.3:1");
    assert_eq!(from_flags.nodes().unwrap().len(), 2);
}

#[test]
fn missing_and_invalid_options_are_errors() {
    let none = read_options(&[], &[]).unwrap();
    assert!(matches!(none.platform(), Err(Error::NoPlatform)));
    assert!(matches!(none.nodes(), Err(Error::NoNode)));
    let error = read_options(&[], &[(PLATFORM_VARIABLE, "somewhere")]).unwrap_err();
    assert_eq!(error.exit_code(), Exit::Usage);

    let path = write_config("bad-client", "[client]\nplatform = x\ncolour = blue\n[node]\n");
    let Err(Error::InvalidFile { faults, .. }) = read_options(&["--config", &path], &[]) else {
        panic!("the file is accepted");
    };
    let lines: Vec<_> = faults.iter().map(|fault| fault.line).collect();
    assert_eq!(lines, [2, 3, 4]);
}
