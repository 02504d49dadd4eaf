//! Parsing of intents from the command line and from the text of a stored plan.

use {
    crate::{
        command,
        error::{Error, InvalidFileSnafu, UnreadableSnafu},
    },
    clap::ArgMatches,
    snafu::ResultExt,
    std::{
        fs,
        path::{Path, PathBuf},
    },
    whinspring::{
        declaration,
        model::{Plan, Server, ServerState, Service},
        name::{Name, Slice},
        plan::{self, Intent},
    },
};

/// Returns the intent of a command; `None` if the command does not propose a plan.
///
/// # Errors
///
/// Fails if the declaration file is unreadable or invalid.
pub fn parse(matches: &ArgMatches) -> Result<Option<Intent>, Error> {
    let intent = match matches.subcommand() {
        Some(("service", sub)) => match sub.subcommand() {
            Some(("declare", args)) => {
                let path: &PathBuf = required(args, "file");
                Some(Intent::Declare(Box::new(read_declaration(path)?)))
            }
            _ => None,
        },
        Some(("server", sub)) => {
            sub.subcommand().and_then(|(verb, args)| parse_server_command(verb, args))
        }
        Some(("move", sub)) => sub.subcommand().and_then(|(what, args)| parse_move(what, args)),
        Some(("share", args)) => Some(Intent::Share {
            service: required_name(args, "service"),
            customer: required_name(args, "customer"),
            share: *required(args, "share"),
        }),
        Some(("clear", args)) => Some(Intent::ClearSuspect { print: *required(args, "print") }),
        _ => None,
    };
    Ok(intent)
}

/// Returns the intent that a stored plan was made for; `None` if its text no longer parses.
pub fn from_plan(plan: &Plan) -> Option<Intent> {
    let words = split_words(&plan.intent);
    if words.starts_with(&["service".into(), "declare".into()]) {
        return plan::declaration(plan).map(|service| Intent::Declare(Box::new(service.clone())));
    }
    let line = std::iter::once("whinspring".to_string()).chain(words);
    let matches = command::command().try_get_matches_from(line).ok()?;
    parse(&matches).ok().flatten()
}

/// Reads the declaration file of a service.
fn read_declaration(path: &Path) -> Result<Service, Error> {
    let text = fs::read_to_string(path).context(UnreadableSnafu { path })?;
    declaration::parse(&text).or_else(|faults| InvalidFileSnafu { path, faults }.fail())
}

/// Returns the intent of a `server` subcommand.
fn parse_server_command(verb: &str, args: &ArgMatches) -> Option<Intent> {
    let service = required_name(args, "service");
    let server = required_name(args, "server");
    match verb {
        "add" => Some(Intent::Add { service, server: parse_server(args) }),
        "drain" => Some(Intent::SetState { service, server, state: ServerState::Draining }),
        "return" => Some(Intent::SetState { service, server, state: ServerState::Active }),
        "replace" => Some(Intent::Replace {
            service,
            old: required_name(args, "old"),
            new: parse_server(args),
        }),
        "fence" => Some(Intent::SetFenced { service, server, fenced: *required(args, "fenced") }),
        _ => None,
    }
}

/// Returns the server declared by the command's options.
fn parse_server(args: &ArgMatches) -> Server {
    Server {
        name: required_name(args, "server"),
        addr: *required(args, "addr"),
        domain: required_name(args, "domain"),
        fenced: *required(args, "fenced"),
        slots: *required(args, "slots"),
        conns: *required(args, "conns"),
        state: ServerState::Active,
    }
}

/// Returns the intent of a `move` subcommand.
fn parse_move(what: &str, args: &ArgMatches) -> Option<Intent> {
    let service = required_name(args, "service");
    let to = required_name(args, "to");
    match what {
        "slice" => {
            let slices = values::<u32>(args, "slices").map(Slice).collect();
            Some(Intent::MoveSlices { service, slices, to })
        }
        "key" => Some(Intent::MoveKeys { service, keys: values(args, "keys").collect(), to }),
        _ => None,
    }
}

/// Returns the value of a required argument.
///
/// # Panics
///
/// Panics if the command does not define the argument `id` as required.
pub fn required<'a, T: Clone + Send + Sync + 'static>(args: &'a ArgMatches, id: &str) -> &'a T {
    args.get_one(id).expect("clap enforces required arguments")
}

/// Returns the value of a required argument that is a name.
pub fn required_name(args: &ArgMatches, id: &str) -> Name {
    required::<Name>(args, id).clone()
}

/// Returns the values of an argument.
fn values<'a, T: Clone + Send + Sync + 'static>(
    args: &'a ArgMatches,
    id: &str,
) -> impl Iterator<Item = T> + 'a {
    args.get_many(id).into_iter().flatten().cloned()
}

/// Splits a command as a shell does: at spaces outside single quotes, with backslash escapes.
fn split_words(text: &str) -> Vec<String> {
    let mut words = Vec::new();
    let mut word = None;
    let mut quoted = false;
    let mut chars = text.chars();
    while let Some(c) = chars.next() {
        match c {
            '\'' => {
                quoted = !quoted;
                word.get_or_insert_with(String::new);
            }
            ' ' if !quoted => words.extend(word.take()),
            '\\' if !quoted => word.get_or_insert_with(String::new).extend(chars.next()),
            c => word.get_or_insert_with(String::new).push(c),
        }
    }
    words.extend(word);
    words
}
