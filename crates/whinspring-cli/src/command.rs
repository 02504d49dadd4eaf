//! The command line, by clap's builder.

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

/// Largest share of a customer.
const MAX_SHARE: i64 = 1_000;

/// Returns the whole command line.
pub fn command() -> Command {
    Command::new("whinspring")
        .about("Operates a whinspring deployment")
        .after_help("Commands that change something print a plan. `confirm` carries it out.")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .max_term_width(79)
        .args(globals())
        .subcommands(intents())
        .subcommands(plans())
        .subcommands(queries())
        .subcommands(shell())
}

/// Returns the options of every command.
fn globals() -> [Arg; 4] {
    let platform = Arg::new("platform")
        .long("platform")
        .value_name("ADDR")
        .help("IP:PORT of the platform [env: WHINSPRING_PLATFORM]")
        .value_parser(address);
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

/// Returns the commands that ask for a plan.
fn intents() -> [Command; 5] {
    [service(), server(), movement(), share(), clear()]
}

/// Returns the commands on whole services.
fn service() -> Command {
    let declare = Command::new("declare").about("Plan a service with all its servers").arg(path(
        "file",
        "FILE",
        "INI file of the service",
    ));
    Command::new("service").about("Declare services").subcommand_required(true).subcommand(declare)
}

/// Returns the commands on backend servers.
fn server() -> Command {
    let state = |verb: &'static str, about: &'static str| {
        Command::new(verb).about(about).args([name("service", "SERVICE"), name("server", "SERVER")])
    };
    let add = Command::new("add")
        .about("Plan one more server")
        .args([name("service", "SERVICE"), name("server", "SERVER")])
        .args(declaration());
    let old = name("old", "OLD").help("Server that drains");
    let new = name("server", "NEW").help("Name of the new server");
    let replace = Command::new("replace")
        .about("Plan a new server in place of another, which drains")
        .args([name("service", "SERVICE"), old, new])
        .args(declaration());
    let fence = state("fence", "Plan whether a server is known to check fences").arg(fenced());
    let add = add.override_usage("whinspring server add SERVICE SERVER [OPTIONS]");
    let replace = replace.override_usage("whinspring server replace SERVICE OLD NEW [OPTIONS]");
    Command::new("server")
        .about("Add, drain, return or replace backend servers")
        .subcommand_required(true)
        .subcommand(add)
        .subcommand(state("drain", "Plan that a server finishes and gets no new work"))
        .subcommand(state("return", "Plan that a drained server serves again"))
        .subcommand(replace)
        .subcommand(fence)
}

/// Returns the argument that says whether a server checks fencing terms.
fn fenced() -> Arg {
    Arg::new("fenced")
        .value_name("yes|no")
        .help("Whether it checks fencing terms")
        .required(true)
        .value_parser(flag)
}

/// Returns the options that declare a server.
fn declaration() -> [Arg; 5] {
    let addr = Arg::new("addr")
        .long("addr")
        .value_name("IP:PORT")
        .help("HTTP address of the server")
        .required(true)
        .value_parser(server_address);
    let domain = name("domain", "DOMAIN").long("domain").help("Failure domain of its VM");
    let slots = Arg::new("slots")
        .long("slots")
        .value_name("N")
        .help("Requests it runs at once")
        .default_value("2")
        .value_parser(value_parser!(u32).range(1..=i64::from(MAX_SLOTS)));
    let conns = Arg::new("conns")
        .long("conns")
        .value_name("N")
        .help("Connections it accepts")
        .default_value("100")
        .value_parser(value_parser!(u32).range(1..=i64::from(MAX_CONNS)));
    [addr, domain, fenced().long("fenced"), slots, conns]
}

/// Returns the commands that move slices and keys.
fn movement() -> Command {
    let to = || name("to", "SERVER").long("to").help("New owner");
    let slices = Arg::new("slices")
        .value_name("SLICE")
        .help("Slices to move")
        .required(true)
        .num_args(1..)
        .value_parser(value_parser!(u32));
    let keys = Arg::new("keys")
        .value_name("KEY")
        .help("Keys to move: one, or a hot set")
        .required(true)
        .num_args(1..)
        .value_parser(word());
    let slice = Command::new("slice").about("Plan another owner of slices").args([
        name("service", "SERVICE"),
        slices,
        to(),
    ]);
    let key = Command::new("key").about("Plan an owner of their own for single keys").args([
        name("service", "SERVICE"),
        keys,
        to(),
    ]);
    Command::new("move")
        .about("Move slices, keys or hot sets")
        .subcommand_required(true)
        .subcommands([slice, key])
}

/// Returns the command that sets a customer's share.
fn share() -> Command {
    let share = Arg::new("share")
        .value_name("SHARE")
        .help("Weight against other customers, who have 1")
        .required(true)
        .value_parser(value_parser!(u32).range(1..=MAX_SHARE));
    let customer = Arg::new("customer")
        .value_name("CUSTOMER")
        .help("The customer")
        .required(true)
        .value_parser(word());
    Command::new("share").about("Plan a customer's share").args([
        name("service", "SERVICE"),
        share,
        customer,
    ])
}

/// Returns the command that clears a suspected request.
fn clear() -> Command {
    let print = Arg::new("print")
        .value_name("FINGERPRINT")
        .help("Fingerprint, as `doctor` prints it")
        .required(true)
        .value_parser(fingerprint);
    Command::new("clear").about("Plan an end to the suspicion of a request").arg(print)
}

/// Returns the commands on plans.
fn plans() -> [Command; 4] {
    let plan = || {
        Arg::new("plan")
            .value_name("PLAN")
            .help("Id of the plan")
            .required(true)
            .value_parser(word())
    };
    let wait =
        Arg::new("wait").long("wait").help("Follow the plan to its end").action(ArgAction::SetTrue);
    let all = Arg::new("all").long("all").help("List ended plans too").action(ArgAction::SetTrue);
    [
        Command::new("confirm").about("Have a plan carried out").args([plan(), wait]),
        Command::new("watch").about("Follow a plan to its end").arg(plan()),
        Command::new("abort")
            .about("Stop a plan between two steps, or take note of a failed one")
            .arg(plan()),
        Command::new("plans").about("List plans").arg(all),
    ]
}

/// Returns the commands that only look.
fn queries() -> [Command; 5] {
    let key =
        || Arg::new("key").value_name("KEY").help("The key").required(true).value_parser(word());
    let service = || name("service", "SERVICE").long("service").required(false);
    let id = Arg::new("id")
        .value_name("REQUEST-ID")
        .help("Id of the caller's request")
        .required(true)
        .value_parser(word());
    let logs = || {
        let help = "Log of nodes to read in place of asking them, repeatable";
        path("log", "FILE", help).long("log").required(false).action(ArgAction::Append)
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
        Command::new("doctor").about("Show what is wrong now, worst first, and what mends it"),
    ]
}

/// Returns the commands for the shell.
fn shell() -> [Command; 2] {
    let shell = Arg::new("shell")
        .value_name("SHELL")
        .help("bash, elvish, fish, powershell or zsh")
        .required(true)
        .value_parser(value_parser!(clap_complete::Shell));
    let folder = path("folder", "FOLDER", "Folder for one page a command").required(false);
    [
        Command::new("completions").about("Print completions for a shell").arg(shell),
        Command::new("man").about("Print the man page, or write all of them").arg(folder),
    ]
}

/// Returns an argument that takes a name.
fn name(id: &'static str, value: &'static str) -> Arg {
    let help = format!("Name of the {}", value.to_lowercase());
    Arg::new(id).value_name(value).help(help).required(true).value_parser(short_name)
}

/// Returns an argument that takes a path.
fn path(id: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(id).value_name(value).help(help).required(true).value_parser(value_parser!(PathBuf))
}

/// Accepts any text that is not empty.
fn word() -> ValueParser {
    ValueParser::new(|text: &str| match text {
        "" => Err("write at least one character"),
        text => Ok(Name::from(text)),
    })
}

/// Accepts a name of a service, server or domain.
fn short_name(text: &str) -> Result<Name, &'static str> {
    parse_name(text).ok_or(NAME_HINT)
}

/// Accepts the platform's address.
fn address(text: &str) -> Result<SocketAddr, &'static str> {
    parse_platform(text).ok_or("write IP:PORT or http://IP:PORT")
}

/// Accepts a server's address.
fn server_address(text: &str) -> Result<SocketAddr, &'static str> {
    parse_addr(text).ok_or("write IP:PORT, such as 10.0.0.20:9000")
}

/// Accepts `yes` or `no`.
fn flag(text: &str) -> Result<bool, &'static str> {
    whinspring::ini::parse_flag(text).ok_or("write yes or no")
}

/// Accepts a fingerprint in hexadecimal.
fn fingerprint(text: &str) -> Result<u64, &'static str> {
    u64::from_str_radix(text, 16).map_err(|_| "write up to 16 hexadecimal digits")
}
