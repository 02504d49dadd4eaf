//! Execution of a command line and printing of its result.

use {
    crate::{
        command::command,
        error::{Error, UnwritableSnafu},
        exit::Exit,
        intent::{self, required_name},
        log::Log,
        node::{self, percent_encode},
        options::Options,
        plans, query,
        store::Store,
        view::{
            Explanation, Format, KeyLog, OwnerChanges, PlanConflict, Plans, Progress, ProposedPlan,
            RequestLog, View,
        },
    },
    clap::{ArgMatches, Command},
    snafu::ResultExt,
    std::{
        ffi::OsString,
        fs,
        io::Write,
        net::SocketAddr,
        path::{Path, PathBuf},
    },
    whinspring::{
        model::{Plan, PlanState},
        name::Name,
        plan::Intent,
    },
    whinspring_platform::Platform,
};

/// Runs one command with the environment and standard output of this process.
pub async fn run(line: impl IntoIterator<Item = OsString>) -> Exit {
    let matches = match command().try_get_matches_from(line) {
        Ok(matches) => matches,
        Err(error) => {
            error.print().ok();
            return if error.use_stderr() { Exit::Usage } else { Exit::Success };
        }
    };
    let format = if matches.get_flag("json") { Format::Json } else { Format::Text };
    let mut out = Output { format, sink: std::io::stdout() };
    match run_command(&matches, &mut out).await {
        Ok(exit) => exit,
        Err(error) => {
            print_error(&error, format);
            error.exit_code()
        }
    }
}

/// Prints an error: text to standard error, JSON to standard output, where programs read results.
fn print_error(error: &Error, format: Format) {
    let text = format.render_error(error);
    match format {
        Format::Text => eprint!("{text}"),
        Format::Json => print!("{text}"),
    }
}

/// Destination and format of results.
#[derive(Debug)]
pub struct Output<W> {
    pub format: Format,
    pub sink: W,
}

impl<W: Write> Output<W> {
    /// Prints a result. Write errors, such as a closed pipe, are ignored.
    fn print(&mut self, view: &impl View) {
        self.write(&self.format.render(view));
    }

    /// Writes text unchanged and flushes it.
    fn write(&mut self, text: &str) {
        self.sink.write_all(text.as_bytes()).and_then(|()| self.sink.flush()).ok();
    }
}

/// Runs a parsed command; connects to the platform only if the command needs it.
async fn run_command<W: Write>(matches: &ArgMatches, out: &mut Output<W>) -> Result<Exit, Error> {
    match matches.subcommand() {
        Some(("completions", args)) => {
            let shell: clap_complete::Shell = *intent::required(args, "shell");
            clap_complete::generate(shell, &mut command(), "whinspring", &mut out.sink);
            Ok(Exit::Success)
        }
        Some(("man", args)) => write_manual(args, out),
        _ => {
            let options = Options::read(matches, |variable| std::env::var(variable).ok())?;
            match matches.subcommand() {
                Some(("explain", args)) => explain(args, &options, out).await,
                Some(("history", args)) => history(args, &options, out).await,
                _ => {
                    let platform = Platform::new(options.platform()?);
                    dispatch(matches, &platform, options.known_nodes(), out).await
                }
            }
        }
    }
}

/// Runs a command on the records of `store`; `doctor` also queries the admin ports `nodes`.
pub async fn dispatch<W: Write>(
    matches: &ArgMatches,
    store: &impl Store,
    nodes: &[SocketAddr],
    out: &mut Output<W>,
) -> Result<Exit, Error> {
    if let Some(intent) = intent::parse(matches)? {
        return propose(&intent, store, out).await;
    }
    match matches.subcommand() {
        Some(("confirm", args)) => {
            confirm(&required_name(args, "plan"), args.get_flag("wait"), store, out).await
        }
        Some(("watch", args)) => watch(&required_name(args, "plan"), store, out).await,
        Some(("abort", args)) => {
            out.print(&Progress::from(
                &plans::abort(store, &required_name(args, "plan")).await?.plan,
            ));
            Ok(Exit::Success)
        }
        Some(("plans", args)) => {
            let all = args.get_flag("all");
            let records = store.list().await?;
            let listed = |plan: &&Plan| all || is_listed(plan);
            out.print(&Plans::new(query::plans(&records).filter(listed)));
            Ok(Exit::Success)
        }
        Some(("owners", args)) => {
            let service = args.get_one::<Name>("service").map(Name::as_str);
            let records = store.list().await?;
            out.print(&query::owners(&records, &required_name(args, "key"), service)?);
            Ok(Exit::Success)
        }
        Some(("doctor", _)) => {
            let records = store.list().await?;
            let mut diagnosis = query::diagnose(&records);
            diagnosis.add(query::diagnose_nodes(&records, &fetch_statuses(nodes).await));
            out.print(&diagnosis);
            Ok(if diagnosis.findings.is_empty() { Exit::Success } else { Exit::Problem })
        }
        _ => {
            out.print(&query::status(&store.list().await?));
            Ok(Exit::Success)
        }
    }
}

/// Fetches the state of each node; `None` for a node that gives no valid response.
async fn fetch_statuses(nodes: &[SocketAddr]) -> Vec<query::NodeAnswer> {
    let answers = node::fetch_each(nodes, "/status").await;
    answers.into_iter().map(|(addr, answer)| (addr, answer.ok())).collect()
}

/// Returns whether a plan is listed without `--all`.
fn is_listed(plan: &Plan) -> bool {
    plans::is_open(plan.state) || plan.state == PlanState::Failed
}

/// Creates and prints a plan.
async fn propose<W: Write>(
    intent: &Intent,
    store: &impl Store,
    out: &mut Output<W>,
) -> Result<Exit, Error> {
    let proposal = plans::propose(store, intent).await?;
    out.print(&ProposedPlan::from(&proposal));
    Ok(Exit::Success)
}

/// Confirms a plan and follows it until the controller has accepted it, or with `wait` until it
/// has ended.
async fn confirm<W: Write>(
    id: &Name,
    wait: bool,
    store: &impl Store,
    out: &mut Output<W>,
) -> Result<Exit, Error> {
    match plans::confirm(store, id).await {
        Ok(_) => {}
        Err(error) if error.number() == Some(plans::CONFLICT) => {
            return report_conflict(id, plans::CONFLICT, &error.to_string(), store, out).await;
        }
        Err(error) => return Err(error),
    }
    if wait {
        return watch(id, store, out).await;
    }
    let accepted = |plan: &Plan| plan.state != PlanState::Confirmed || !plan.reason.is_empty();
    let followed = plans::follow(store, id, plans::ACCEPT_TIMEOUT, accepted, |_| {}).await?;
    out.print(&Progress::from(&followed.plan));
    resolve_exit(&followed.plan, Exit::Success, store, out).await
}

/// Follows a plan until it has ended and prints each change.
async fn watch<W: Write>(
    id: &Name,
    store: &impl Store,
    out: &mut Output<W>,
) -> Result<Exit, Error> {
    let ended = |plan: &Plan| !plans::is_open(plan.state);
    let report = |plan: &Plan| out.print(&Progress::from(plan));
    let followed = plans::follow(store, id, plans::FOLLOW_TIMEOUT, ended, report).await?;
    resolve_exit(&followed.plan, Exit::StillRunning, store, out).await
}

/// Returns the exit code for a plan that was followed, `open` if it has not ended. If it failed
/// because of a conflicting change, creates a new plan.
async fn resolve_exit<W: Write>(
    plan: &Plan,
    open: Exit,
    store: &impl Store,
    out: &mut Output<W>,
) -> Result<Exit, Error> {
    if let Some((number, reason)) = plans::conflict_reason(plan) {
        return report_conflict(&plan.id, number, reason, store, out).await;
    }
    Ok(match plan.state {
        PlanState::Finished => Exit::Success,
        PlanState::Aborted | PlanState::Failed => Exit::Problem,
        PlanState::Proposed | PlanState::Confirmed => open,
    })
}

/// Prints why a plan conflicts with another change, and a new plan for the same intent.
async fn report_conflict<W: Write>(
    id: &Name,
    number: u16,
    reason: &str,
    store: &impl Store,
    out: &mut Output<W>,
) -> Result<Exit, Error> {
    let fresh = plans::replan(store, id).await?;
    out.print(&PlanConflict {
        plan: id.to_string(),
        number,
        error: reason.into(),
        fresh: fresh.as_ref().map(ProposedPlan::from),
    });
    Ok(Exit::Conflict)
}

/// Prints the events of a request, from log files or from the nodes.
async fn explain<W: Write>(
    args: &ArgMatches,
    options: &Options,
    out: &mut Output<W>,
) -> Result<Exit, Error> {
    let id = required_name(args, "id");
    if let Some(log) = read_logs(args)? {
        let request = RequestLog::new(&log, &id);
        if request.lines.is_empty() {
            let hint = "pass the logs of all nodes; responses of servers are counted, not logged";
            return Err(Error::NotFound { what: format!("request {id}"), hint });
        }
        out.print(&request);
        return Ok(Exit::Success);
    }
    let path = format!("/explain?id={}", percent_encode(&id));
    let explanation = Explanation::new(&id, node::fetch(options.nodes()?, &path).await?);
    if explanation.events.is_empty() {
        let hint = "query every node with --node; nodes keep recent requests only";
        return Err(Error::NotFound { what: format!("request {id}"), hint });
    }
    out.print(&explanation);
    Ok(Exit::Success)
}

/// Prints the owner changes of a key, from log files or from the nodes.
async fn history<W: Write>(
    args: &ArgMatches,
    options: &Options,
    out: &mut Output<W>,
) -> Result<Exit, Error> {
    let key = required_name(args, "key");
    let service = args.get_one::<Name>("service").map(Name::as_str);
    if let Some(log) = read_logs(args)? {
        let changes = key.parse().ok().map(|number| KeyLog::new(&log, number, service));
        let Some(changes) = changes.filter(|changes| !changes.lines.is_empty()) else {
            let hint = "keys are numbers; pass the logs of all nodes, as any may have granted keys";
            return Err(Error::NotFound { what: format!("owner change of key {key}"), hint });
        };
        out.print(&changes);
        return Ok(Exit::Success);
    }
    let path = format!("/history?key={}", percent_encode(&key));
    let changes = OwnerChanges::new(&key, service, node::fetch(options.nodes()?, &path).await?);
    if changes.changes.is_empty() {
        let hint = "query every node with --node; nodes keep changes since their start only";
        return Err(Error::NotFound { what: format!("owner change of key {key}"), hint });
    }
    out.print(&changes);
    Ok(Exit::Success)
}

/// Reads the files given with `--log`; `None` without that option.
fn read_logs(args: &ArgMatches) -> Result<Option<Log>, Error> {
    let Some(paths) = args.get_many::<PathBuf>("log") else { return Ok(None) };
    Log::read(paths.map(PathBuf::as_path)).map(Some)
}

/// Prints the main man page, or writes one page per command into a directory.
fn write_manual<W: Write>(args: &ArgMatches, out: &mut Output<W>) -> Result<Exit, Error> {
    match args.get_one::<PathBuf>("folder") {
        Some(folder) => write_man_pages(folder)?,
        None => {
            let mut page = Vec::new();
            render_page(command(), &mut page);
            out.write(&String::from_utf8_lossy(&page));
        }
    }
    Ok(Exit::Success)
}

fn render_page(command: Command, page: &mut Vec<u8>) {
    clap_mangen::Man::new(command).render(page).expect("writing to a Vec does not fail");
}

fn write_man_pages(folder: &Path) -> Result<(), Error> {
    fs::create_dir_all(folder).context(UnwritableSnafu { path: folder })?;
    clap_mangen::generate_to(command(), folder).context(UnwritableSnafu { path: folder })
}
