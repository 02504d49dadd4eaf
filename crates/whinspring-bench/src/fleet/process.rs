//! Child processes: start, readiness, signals, resource usage and exit.

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

/// Limit on the time until a process prints its listen address.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Lines of output included in an error.
const TAIL_LINES: usize = 20;

/// A child process, killed when dropped.
#[derive(Debug)]
pub struct Process {
    /// Name of the process and of its log file.
    pub name: String,
    program: PathBuf,
    args: Vec<OsString>,
    log: PathBuf,
    log_start: usize,
    child: Child,
    pid: i32,
    exited: bool,
}

/// Resource usage of a process.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct Usage {
    /// User and system CPU time since the start.
    pub cpu: Duration,
    /// Current resident memory, in KiB.
    pub rss_kb: u64,
    /// Peak resident memory, in KiB.
    pub peak_kb: u64,
}

impl Process {
    /// Starts a program of the same build; its output is appended to `NAME.log` in `dir`.
    pub fn start(dir: &Path, name: &str, program: &str, args: &[OsString]) -> Result<Self, Error> {
        Self::start_at(dir, name, program_path(program), args)
    }

    /// Starts the program at a path; its output is appended to `NAME.log` in `dir`.
    pub fn start_at(
        dir: &Path,
        name: &str,
        program: PathBuf,
        args: &[OsString],
    ) -> Result<Self, Error> {
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

    /// Kills the process if it still runs, and starts the program again with the same arguments and
    /// log.
    pub async fn restart(&mut self) -> Result<(), Error> {
        self.kill().await;
        self.log_start = file_len(&self.log);
        self.child = spawn(&self.program, &self.args, &self.log)?;
        self.pid = self.child.id().map_or(0, |pid| pid as i32);
        self.exited = false;
        Ok(())
    }

    /// Sets the program and the arguments of the next start.
    pub fn set_program(&mut self, program: PathBuf, args: Vec<OsString>) {
        self.program = program;
        self.args = args;
    }

    /// Returns the process id of the child.
    pub fn pid(&self) -> i32 {
        self.pid
    }

    /// Waits for the line `listening ADDR` in the output and returns the address.
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

    /// Returns [`Error::NotReady`] with the last lines of the output.
    pub fn fail_not_ready<T>(&self) -> Result<T, Error> {
        NotReadySnafu { name: &self.name, output: self.tail() }.fail()
    }

    /// Returns the last lines of the output.
    pub fn tail(&self) -> String {
        let output = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<_> = output.lines().collect();
        lines[lines.len().saturating_sub(TAIL_LINES)..].join("\n")
    }

    /// Returns whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        self.exited = self.exited || !matches!(self.child.try_wait(), Ok(None));
        self.exited
    }

    /// Returns the resource usage, or `None` if the process has exited.
    pub fn usage(&self) -> Option<Usage> {
        usage(self.pid)
    }

    /// Kills the process (SIGKILL) and waits until it has exited.
    pub async fn kill(&mut self) {
        if !self.exited {
            let _ = self.child.kill().await;
            self.exited = true;
        }
    }

    /// Requests a graceful stop (SIGTERM).
    pub fn terminate(&self) -> Result<(), Error> {
        self.signal(libc::SIGTERM)
    }

    /// Suspends the process (SIGSTOP).
    pub fn pause(&self) -> Result<(), Error> {
        self.signal(libc::SIGSTOP)
    }

    /// Resumes the process after [`Process::pause`] (SIGCONT).
    pub fn resume(&self) -> Result<(), Error> {
        self.signal(libc::SIGCONT)
    }

    /// Makes the process reload its settings (SIGHUP).
    pub fn send_hangup(&self) -> Result<(), Error> {
        self.signal(libc::SIGHUP)
    }

    /// Returns whether the process has a handler for SIGHUP. No program has one before its loader
    /// has ended, and a signal that comes earlier ends it.
    pub fn handles_hangup(&self) -> bool {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid));
        let status = status.unwrap_or_default();
        let mask = status.lines().find_map(|line| line.strip_prefix("SigCgt:"));
        let mask = mask.and_then(|mask| u64::from_str_radix(mask.trim(), 16).ok());
        mask.unwrap_or_default() & (1 << (libc::SIGHUP - 1)) != 0
    }

    /// Waits up to `limit` for the process to exit; returns whether it did.
    pub async fn wait_exit(&mut self, limit: Duration) -> bool {
        let exited = tokio::time::timeout(limit, self.child.wait()).await.is_ok();
        self.exited = self.exited || exited;
        exited
    }

    /// Kills the process (SIGKILL) and waits until it has exited.
    pub async fn close(mut self) {
        self.kill().await;
    }

    /// Sends a signal to the child. Fails once its exit has been observed, because the process id
    /// may have been reused.
    fn signal(&self, signal: i32) -> Result<(), Error> {
        if self.exited {
            return Err(io::ErrorKind::NotFound.into()).context(SignalSnafu { name: &self.name });
        }
        // SAFETY: kill takes no pointers; the child has not been reaped, so its id is still valid.
        #[allow(unsafe_code)]
        let result = unsafe { libc::kill(self.pid, signal) };
        if result != 0 {
            return Err(io::Error::last_os_error()).context(SignalSnafu { name: &self.name });
        }
        Ok(())
    }
}

/// Returns the path of a program in the build directory of the current executable.
pub fn program_path(program: &str) -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    let dir = own.parent().unwrap_or(Path::new("."));
    let is_test = dir.ends_with("deps");
    let dir = if is_test { dir.parent().unwrap_or(dir) } else { dir };
    dir.join(program)
}

/// Starts a program that appends its output to `log`.
fn spawn(program: &Path, args: &[OsString], log: &Path) -> Result<Child, Error> {
    let output = File::options().create(true).append(true).open(log).context(DirSnafu)?;
    let errors = output.try_clone().context(DirSnafu)?;
    let mut command = Command::new(program);
    command.args(args).stdin(Stdio::null()).stdout(output).stderr(errors).kill_on_drop(true);
    // SAFETY: the closure makes one system call without pointers between fork and exec.
    #[allow(unsafe_code)]
    unsafe {
        command.pre_exec(set_death_signal);
    }
    command.spawn().context(ProgramSnafu { program })
}

/// Makes the kernel kill this process when its parent exits, including by a crash or SIGKILL.
fn set_death_signal() -> io::Result<()> {
    // SAFETY: PR_SET_PDEATHSIG takes no pointers.
    #[allow(unsafe_code)]
    let result = unsafe { libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL) };
    if result == 0 { Ok(()) } else { Err(io::Error::last_os_error()) }
}

/// Returns the length of a file, or zero if it cannot be read.
fn file_len(path: &Path) -> usize {
    std::fs::metadata(path).map_or(0, |meta| meta.len() as usize)
}

/// Reads the resource usage of a process from `/proc`.
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

/// Returns the CPU time from the contents of a `/proc` `stat` file.
fn cpu_time(stat: &str) -> Option<Duration> {
    let (_, fields) = stat.rsplit_once(')')?;
    let mut ticks = fields.split_whitespace().skip(11).map_while(|field| field.parse::<u64>().ok());
    let cpu_ticks = ticks.next()? + ticks.next()?;
    Some(Duration::from_secs_f64(cpu_ticks as f64 / ticks_per_s()))
}

/// Returns the number of clock ticks per second in `/proc` statistics.
fn ticks_per_s() -> f64 {
    // SAFETY: sysconf takes no pointers.
    #[allow(unsafe_code)]
    let ticks = unsafe { libc::sysconf(libc::_SC_CLK_TCK) };
    ticks.max(1) as f64
}
