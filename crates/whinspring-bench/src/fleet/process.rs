//! One child process: start, readiness, signals, use of the machine, end.

use {
    super::{
        POLL_INTERVAL,
        error::{DirSnafu, Error, NotReadySnafu, ProgramSnafu, SignalSnafu},
    },
    snafu::ResultExt,
    std::{
        ffi::OsString,
        fs::File,
        io,
        net::SocketAddr,
        path::{Path, PathBuf},
        process::Stdio,
        time::{Duration, Instant},
    },
    tokio::process::{Child, Command},
};

/// Longest wait for a process to say that it listens.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Lines of output shown when a process fails.
const TAIL_LINES: usize = 20;

/// A child process; killed when dropped.
#[derive(Debug)]
pub struct Process {
    /// Name used for its files.
    pub name: String,
    program: PathBuf,
    args: Vec<OsString>,
    log: PathBuf,
    log_start: usize,
    child: Child,
    pid: i32,
    exited: bool,
}

/// What a process has used of the machine.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct Usage {
    /// Processor time since its start.
    pub cpu: Duration,
    /// Resident memory now, in KiB.
    pub rss_kb: u64,
    /// Largest resident memory so far, in KiB.
    pub peak_kb: u64,
}

impl Process {
    /// Starts a program of this build; its output goes to `NAME.log` in `dir`.
    pub fn start(dir: &Path, name: &str, program: &str, args: &[OsString]) -> Result<Self, Error> {
        let program = program_path(program);
        let log = dir.join(format!("{name}.log"));
        let log_start = file_len(&log);
        let child = spawn(&program, args, &log)?;
        let pid = child.id().map_or(0, |pid| pid as i32);
        Ok(Self {
            name: name.into(),
            program,
            args: args.into(),
            log,
            log_start,
            child,
            pid,
            exited: false,
        })
    }

    /// Starts the program again after its end, with the same arguments and files.
    pub async fn restart(&mut self) -> Result<(), Error> {
        self.kill().await;
        self.log_start = file_len(&self.log);
        self.child = spawn(&self.program, &self.args, &self.log)?;
        self.pid = self.child.id().map_or(0, |pid| pid as i32);
        self.exited = false;
        Ok(())
    }

    /// Returns its process id.
    pub fn pid(&self) -> i32 {
        self.pid
    }

    /// Waits for the line `listening ADDR` of its output.
    pub async fn wait_listening(&mut self) -> Result<SocketAddr, Error> {
        let end = Instant::now() + START_TIMEOUT;
        while Instant::now() < end && !self.has_exited() {
            let output = std::fs::read_to_string(&self.log).unwrap_or_default();
            let lines = output.get(self.log_start..).unwrap_or_default().lines();
            let mut addrs = lines.filter_map(|line| line.strip_prefix("listening ")?.parse().ok());
            if let Some(addr) = addrs.next() {
                return Ok(addr);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.fail_not_ready()
    }

    /// Fails with the end of the output.
    pub fn fail_not_ready<T>(&self) -> Result<T, Error> {
        NotReadySnafu { name: &self.name, output: self.tail() }.fail()
    }

    /// Returns the last lines of its output.
    pub fn tail(&self) -> String {
        let output = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<_> = output.lines().collect();
        lines[lines.len().saturating_sub(TAIL_LINES)..].join("\n")
    }

    /// Returns whether it has ended.
    pub fn has_exited(&mut self) -> bool {
        self.exited = self.exited || !matches!(self.child.try_wait(), Ok(None));
        self.exited
    }

    /// Returns what it has used of the machine, if it still runs.
    pub fn usage(&self) -> Option<Usage> {
        usage(self.pid)
    }

    /// Kills it and waits for its end.
    pub async fn kill(&mut self) {
        if !self.exited {
            let _ = self.child.kill().await;
            self.exited = true;
        }
    }

    /// Asks it to stop (SIGTERM).
    pub fn terminate(&self) -> Result<(), Error> {
        self.signal(libc::SIGTERM)
    }

    /// Freezes it (SIGSTOP).
    pub fn pause(&self) -> Result<(), Error> {
        self.signal(libc::SIGSTOP)
    }

    /// Lets it go on after [`Process::freeze`] (SIGCONT).
    pub fn resume(&self) -> Result<(), Error> {
        self.signal(libc::SIGCONT)
    }

    /// Tells it that its settings have changed (SIGHUP).
    pub fn send_hangup(&self) -> Result<(), Error> {
        self.signal(libc::SIGHUP)
    }

    /// Returns the processor time of its living threads of this name.
    pub fn thread_time(&self, name: &str) -> Duration {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.pid));
        let tasks = tasks.into_iter().flatten().flatten();
        tasks.filter_map(|task| thread_time(&task.path(), name)).sum()
    }

    /// Waits until it ends by itself, at most `limit`; returns whether it did.
    pub async fn wait_exit(&mut self, limit: Duration) -> bool {
        let exited = tokio::time::timeout(limit, self.child.wait()).await.is_ok();
        self.exited = self.exited || exited;
        exited
    }

    /// Kills it and waits for its end.
    pub async fn close(mut self) {
        self.kill().await;
    }

    /// Sends a signal to the child, unless its end has been seen.
    fn signal(&self, signal: i32) -> Result<(), Error> {
        if self.exited {
            return Err(io::ErrorKind::NotFound.into()).context(SignalSnafu { name: &self.name });
        }
        // SAFETY: kill takes no pointers; the process is a child that was not waited for.
        #[allow(unsafe_code)]
        let result = unsafe { libc::kill(self.pid, signal) };
        if result != 0 {
            return Err(io::Error::last_os_error()).context(SignalSnafu { name: &self.name });
        }
        Ok(())
    }
}

/// Returns the path of a program of the same build as this one.
pub(super) fn program_path(program: &str) -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    let dir = own.parent().unwrap_or(Path::new("."));
    let is_test = dir.ends_with("deps");
    let dir = if is_test { dir.parent().unwrap_or(dir) } else { dir };
    dir.join(program)
}

/// Starts a program that writes its output to the end of `log`.
fn spawn(program: &Path, args: &[OsString], log: &Path) -> Result<Child, Error> {
    let output = File::options().create(true).append(true).open(log).context(DirSnafu)?;
    let errors = output.try_clone().context(DirSnafu)?;
    let mut command = Command::new(program);
    command.args(args).stdin(Stdio::null()).stdout(output).stderr(errors).kill_on_drop(true);
    // SAFETY: between fork and exec only one system call is made, and it takes no pointers.
    #[allow(unsafe_code)]
    unsafe {
        command.pre_exec(set_death_signal);
    }
    command.spawn().context(ProgramSnafu { program })
}

/// Has the system kill this process when its parent ends, however that comes about.
fn set_death_signal() -> io::Result<()> {
    // SAFETY: prctl takes no pointers for this option.
    #[allow(unsafe_code)]
    let result = unsafe { libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL) };
    if result == 0 { Ok(()) } else { Err(io::Error::last_os_error()) }
}

/// Returns the length of a file, zero if there is none.
fn file_len(path: &Path) -> usize {
    std::fs::metadata(path).map_or(0, |meta| meta.len() as usize)
}

/// Reads what a process has used.
fn usage(pid: i32) -> Option<Usage> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let kb = |name: &str| {
        let line = status.lines().find_map(|line| line.strip_prefix(name))?;
        line.trim_end_matches("kB").trim().parse().ok()
    };
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let cpu = cpu_time(&stat)?;
    Some(Usage { cpu, rss_kb: kb("VmRSS:")?, peak_kb: kb("VmHWM:")? })
}

/// Returns the processor time of a thread if it has this name.
fn thread_time(task: &Path, name: &str) -> Option<Duration> {
    let comm = std::fs::read_to_string(task.join("comm")).ok()?;
    if comm.trim() != name {
        return None;
    }
    cpu_time(&std::fs::read_to_string(task.join("stat")).ok()?)
}

/// Returns the processor time in process or thread statistics.
fn cpu_time(stat: &str) -> Option<Duration> {
    let (_, fields) = stat.rsplit_once(')')?;
    let mut ticks = fields.split_whitespace().skip(11).map_while(|field| field.parse::<u64>().ok());
    let cpu_ticks = ticks.next()? + ticks.next()?;
    Some(Duration::from_secs_f64(cpu_ticks as f64 / ticks_per_s()))
}

/// Returns the number of clock ticks a second in process statistics.
fn ticks_per_s() -> f64 {
    // SAFETY: sysconf takes no pointers.
    #[allow(unsafe_code)]
    let ticks = unsafe { libc::sysconf(libc::_SC_CLK_TCK) };
    ticks.max(1) as f64
}
