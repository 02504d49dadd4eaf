//! Runs the operators' client as a child process.

use {
    super::{
        error::{Error, OperatorSnafu, ProgramSnafu},
        process::program_path,
    },
    snafu::ResultExt,
    std::{
        ffi::OsStr,
        net::SocketAddr,
        path::{Path, PathBuf},
    },
    tokio::process::Command,
};

/// Operators' client bound to one platform.
#[derive(Debug, Clone)]
pub struct Operator {
    dir: PathBuf,
    store: SocketAddr,
}

/// A completed command and its output.
#[derive(Debug, Clone)]
pub struct CommandOutput {
    /// Arguments of the command, separated by spaces.
    pub command: String,
    /// Standard output followed by standard error.
    pub output: String,
}

impl Operator {
    /// Returns a client for the platform at `store`.
    pub(super) fn new(dir: &Path, store: SocketAddr) -> Self {
        Self { dir: dir.into(), store }
    }

    /// Creates the plan for a service declared in a file, and confirms it.
    pub async fn declare(&self, file: &Path) -> Result<Vec<CommandOutput>, Error> {
        let command = ["service", "declare"].map(OsStr::new);
        self.change(command.into_iter().chain([file.as_os_str()])).await
    }

    /// Creates the plan for a change, confirms it and waits until it has finished.
    pub async fn change<'a>(
        &self,
        args: impl IntoIterator<Item = &'a OsStr>,
    ) -> Result<Vec<CommandOutput>, Error> {
        let planned = self.run(args).await?;
        let Some(plan) = plan_id(&planned.output) else {
            let CommandOutput { command, output } = planned;
            return OperatorSnafu { command, output }.fail();
        };
        let confirmed = self.run(["confirm", plan, "--wait"].map(OsStr::new)).await?;
        Ok(vec![planned, confirmed])
    }

    /// Runs one command; fails if its exit status is not zero.
    pub async fn run<'a>(
        &self,
        args: impl IntoIterator<Item = &'a OsStr>,
    ) -> Result<CommandOutput, Error> {
        let program = program_path("whinspring");
        let args: Vec<_> = args.into_iter().collect();
        let result = Command::new(&program)
            .arg("--platform")
            .arg(self.store.to_string())
            .args(&args)
            .current_dir(&self.dir)
            .kill_on_drop(true)
            .output()
            .await
            .context(ProgramSnafu { program })?;
        let words: Vec<_> = args.iter().map(|arg| arg.to_string_lossy()).collect();
        let command = words.join(" ");
        let text = [result.stdout, result.stderr].concat();
        let output = String::from_utf8_lossy(&text).into_owned();
        if !result.status.success() {
            return OperatorSnafu { command, output }.fail();
        }
        Ok(CommandOutput { command, output })
    }
}

/// Extracts the plan id from the output of a command that created a plan.
fn plan_id(output: &str) -> Option<&str> {
    let line = output.lines().find_map(|line| line.trim().strip_prefix("plan "))?;
    line.split_whitespace().next().map(|id| id.trim_end_matches(':'))
}
