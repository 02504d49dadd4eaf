//! Definition of the command line.

use {
    clap::{Arg, ArgAction, Command, builder::ValueParser, value_parser},
    std::{net::SocketAddr, path::PathBuf},
    whinspring::{
        declaration::{MAX_CONNS, MAX_SLOTS, parse_addr},
        ini::{NAME_HINT, parse_name},
        name::Name,
        settings::parse_platform,
    },
};

const MAX_SHARE: i64 = 1_000;

/// Returns the definition of the whole command line.
pub fn command() -> Command {
    Command::new("whinspring")
        .about("Operates a whinspring deployment")
        .after_help("Commands that change something print a plan. `confirm` executes it.")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .max_term_width(79)
        .args(global_args())
        .subcommands(change_commands())
        .subcommands(plan_commands())
        .subcommands(query_commands())
        .subcommands(shell_commands())
}

/// Returns the options that every command accepts.
fn global_args() -> [Arg; 4] {
    let platform = Arg::new("platform")
        .long("platform")
        .value_name("ADDR")
        .help("IP:PORT of the platform [env: WHINSPRING_PLATFORM]")
        .value_parser(parse_platform_addr);
    let node = Arg::new("node")
        .long("node")
        .value_name("ADDR")
        .help("Admin IP:PORT of a node, repeatable [env: WHINSPRING_NODE]")
        .action(ArgAction::Append)
        .value_parser(value_parser!(SocketAddr));
    let config = Arg::new("config")
        .long("config")
        .value_name("FILE")
        .help("INI file with [client] platform and nodes")
        .value_parser(value_parser!(PathBuf));
    let json = Arg::new("json").long("json").help("Print JSON").action(ArgAction::SetTrue);
    [platform, node, config, json].map(|arg| arg.global(true).help_heading("Global options"))
}

/// Returns the commands that propose a plan.
fn change_commands() -> [Command; 5] {
    [service_command(), server_command(), move_command(), share_command(), clear_command()]
}

/// Returns the `service` command.
fn service_command() -> Command {
    let declare = Command::new("declare")
        .about("Plan a service with all its servers")
        .arg(path_arg("file", "FILE", "INI file of the service"));
    Command::new("service").about("Declare services").subcommand_required(true).subcommand(declare)
}

/// Returns the `server` command.
fn server_command() -> Command {
    let state = |verb: &'static str, about: &'static str| {
        Command::new(verb)
            .about(about)
            .args([name_arg("service", "SERVICE"), name_arg("server", "SERVER")])
    };
    let add = Command::new("add")
        .about("Plan an additional server")
        .args([name_arg("service", "SERVICE"), name_arg("server", "SERVER")])
        .args(server_args());
    let old = name_arg("old", "OLD").help("Server to drain");
    let new = name_arg("server", "NEW").help("Name of the new server");
    let replace = Command::new("replace")
        .about("Plan a new server to replace another, which is drained")
        .args([name_arg("service", "SERVICE"), old, new])
        .args(server_args());
    let fence =
        state("fence", "Plan to declare whether a server checks fencing terms").arg(fenced_arg());
    let add = add.override_usage("whinspring server add SERVICE SERVER [OPTIONS]");
    let replace = replace.override_usage("whinspring server replace SERVICE OLD NEW [OPTIONS]");
    Command::new("server")
        .about("Add, drain, return or replace backend servers")
        .subcommand_required(true)
        .subcommand(add)
        .subcommand(state("drain", "Plan to let a server finish its work and get no more"))
        .subcommand(state("return", "Plan to return a drained server to service"))
        .subcommand(replace)
        .subcommand(fence)
}

fn fenced_arg() -> Arg {
    Arg::new("fenced")
        .value_name("yes|no")
        .help("Whether the server checks fencing terms")
        .required(true)
        .value_parser(parse_yes_no)
}

/// Returns the options that declare a server.
fn server_args() -> [Arg; 5] {
    let addr = Arg::new("addr")
        .long("addr")
        .value_name("IP:PORT")
        .help("HTTP address of the server")
        .required(true)
        .value_parser(parse_server_addr);
    let domain = name_arg("domain", "DOMAIN").long("domain").help("Failure domain of its VM");
    let slots = Arg::new("slots")
        .long("slots")
        .value_name("N")
        .help("Requests the server runs concurrently")
        .default_value("2")
        .value_parser(value_parser!(u32).range(1..=i64::from(MAX_SLOTS)));
    let conns = Arg::new("conns")
        .long("conns")
        .value_name("N")
        .help("Connections the server accepts")
        .default_value("100")
        .value_parser(value_parser!(u32).range(1..=i64::from(MAX_CONNS)));
    [addr, domain, fenced_arg().long("fenced"), slots, conns]
}

/// Returns the `move` command.
fn move_command() -> Command {
    let to = || name_arg("to", "SERVER").long("to").help("New owner");
    let slices = Arg::new("slices")
        .value_name("SLICE")
        .help("Slices to move")
        .required(true)
        .num_args(1..)
        .value_parser(value_parser!(u32));
    let keys = Arg::new("keys")
        .value_name("KEY")
        .help("Keys to move")
        .required(true)
        .num_args(1..)
        .value_parser(non_empty());
    let slice = Command::new("slice").about("Plan a new owner for slices").args([
        name_arg("service", "SERVICE"),
        slices,
        to(),
    ]);
    let key = Command::new("key").about("Plan to assign single keys to a server").args([
        name_arg("service", "SERVICE"),
        keys,
        to(),
    ]);
    Command::new("move")
        .about("Move slices, keys or hot sets")
        .subcommand_required(true)
        .subcommands([slice, key])
}

/// Returns the `share` command.
fn share_command() -> Command {
    let share = Arg::new("share")
        .value_name("SHARE")
        .help("Weight relative to other customers; the default is 1")
        .required(true)
        .value_parser(value_parser!(u32).range(1..=MAX_SHARE));
    let customer = Arg::new("customer")
        .value_name("CUSTOMER")
        .help("The customer")
        .required(true)
        .value_parser(non_empty());
    Command::new("share").about("Plan a customer's share").args([
        name_arg("service", "SERVICE"),
        share,
        customer,
    ])
}

/// Returns the `clear` command.
fn clear_command() -> Command {
    let print = Arg::new("print")
        .value_name("FINGERPRINT")
        .help("Fingerprint, as `doctor` prints it")
        .required(true)
        .value_parser(parse_fingerprint);
    Command::new("clear")
        .about("Plan to allow a request that was refused for crashing servers")
        .arg(print)
}

/// Returns the commands that operate on stored plans.
fn plan_commands() -> [Command; 4] {
    let plan = || {
        Arg::new("plan")
            .value_name("PLAN")
            .help("Id of the plan")
            .required(true)
            .value_parser(non_empty())
    };
    let wait =
        Arg::new("wait").long("wait").help("Follow the plan to its end").action(ArgAction::SetTrue);
    let all = Arg::new("all").long("all").help("List ended plans too").action(ArgAction::SetTrue);
    [
        Command::new("confirm")
            .about("Confirm a plan, so that it is executed")
            .args([plan(), wait]),
        Command::new("watch").about("Follow a plan to its end").arg(plan()),
        Command::new("abort")
            .about("Stop a plan after its current step, or acknowledge a failed one")
            .arg(plan()),
        Command::new("plans").about("List plans").arg(all),
    ]
}

/// Returns the read-only commands.
fn query_commands() -> [Command; 5] {
    let key = || {
        Arg::new("key").value_name("KEY").help("The key").required(true).value_parser(non_empty())
    };
    let service = || name_arg("service", "SERVICE").long("service").required(false);
    let id = Arg::new("id")
        .value_name("REQUEST-ID")
        .help("Id of the caller's request")
        .required(true)
        .value_parser(non_empty());
    let logs = || {
        let help = "Log file to read instead of querying nodes, repeatable";
        path_arg("log", "FILE", help).long("log").required(false).action(ArgAction::Append)
    };
    [
        Command::new("status").about("Show nodes, services and servers"),
        Command::new("owners").about("Show who owns a key").args([key(), service()]),
        Command::new("history").about("Show who owned a key when, and why it changed").args([
            key(),
            service(),
            logs(),
        ]),
        Command::new("explain")
            .about("Show what happened to a request, hop by hop")
            .args([id, logs()]),
        Command::new("doctor").about("Show current problems, most severe first, with remedies"),
    ]
}

/// Returns the commands that generate completions and man pages.
fn shell_commands() -> [Command; 2] {
    let shell = Arg::new("shell")
        .value_name("SHELL")
        .help("bash, elvish, fish, powershell or zsh")
        .required(true)
        .value_parser(value_parser!(clap_complete::Shell));
    let folder =
        path_arg("folder", "FOLDER", "Folder to write one page per command to").required(false);
    [
        Command::new("completions").about("Print completions for a shell").arg(shell),
        Command::new("man").about("Print the man page, or write all of them").arg(folder),
    ]
}

/// Returns a required argument that is the name of a service, server or domain.
fn name_arg(id: &'static str, value: &'static str) -> Arg {
    let help = format!("Name of the {}", value.to_lowercase());
    Arg::new(id).value_name(value).help(help).required(true).value_parser(parse_short_name)
}

fn path_arg(id: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(id).value_name(value).help(help).required(true).value_parser(value_parser!(PathBuf))
}

/// Returns a parser that accepts any text except the empty one.
fn non_empty() -> ValueParser {
    ValueParser::new(|text: &str| match text {
        "" => Err("expected at least one character"),
        text => Ok(Name::from(text)),
    })
}

/// Parses the name of a service, server or domain.
fn parse_short_name(text: &str) -> Result<Name, &'static str> {
    parse_name(text).ok_or(NAME_HINT)
}

fn parse_platform_addr(text: &str) -> Result<SocketAddr, &'static str> {
    parse_platform(text).ok_or("expected IP:PORT or http://IP:PORT")
}

fn parse_server_addr(text: &str) -> Result<SocketAddr, &'static str> {
    parse_addr(text).ok_or("expected IP:PORT, such as 10.0.0.20:9000")
}

fn parse_yes_no(text: &str) -> Result<bool, &'static str> {
    whinspring::ini::parse_flag(text).ok_or("expected yes or no")
}

/// Parses a fingerprint in hexadecimal.
fn parse_fingerprint(text: &str) -> Result<u64, &'static str> {
    u64::from_str_radix(text, 16).map_err(|_| "expected up to 16 hexadecimal digits")
}
