//! Structured log lines on standard output, bounded and never waited for.
//!
//! Lines go through a queue to a thread that writes them. A line that exceeds the rate, or finds
//! the queue full because nobody reads, is dropped and counted; the count is written with the next
//! line that gets through.

use {
    log::{LevelFilter, set_max_level},
    logforth::{
        Append, Diagnostic, Error, Layout,
        layout::JsonLayout,
        record::{Level, LevelFilter as Filter, Record},
    },
    std::{
        io::{Write, stdout},
        sync::{
            Mutex,
            mpsc::{SyncSender, sync_channel},
        },
        thread,
        time::Instant,
    },
};

/// Lines that wait to be written at most.
const QUEUE_LINES: usize = 512;

/// Stack of the thread that writes, in bytes.
const STACK_BYTES: usize = 64 << 10;

/// Seconds of lines that may come at once.
const BURST_S: f64 = 2.0;

/// Sends the process's log lines to standard output.
///
/// # Panics
///
/// Panics if the thread that writes cannot be started.
pub fn init(lines: u32) {
    let append = BoundedAppender::new(lines, stdout());
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(Filter::MoreSevereEqual(Level::Info)).append(append))
        .apply();
    set_max_level(LevelFilter::Info);
}

/// Appends lines to a bounded queue.
#[derive(Debug)]
pub struct BoundedAppender {
    /// Lines to be written.
    queue: SyncSender<Vec<u8>>,
    /// Lines a second at most.
    rate: f64,
    /// Form of a line.
    layout: JsonLayout,
    /// Lines that may be written now.
    bucket: Mutex<TokenBucket>,
}

/// Lines that may be written now.
#[derive(Debug)]
struct TokenBucket {
    /// Number of lines.
    tokens: f64,
    /// When it was last filled.
    last_refill: Instant,
    /// Lines dropped since the last one that was written.
    dropped: u64,
}

impl BoundedAppender {
    /// Creates a queue whose lines a thread writes to `out`, at most `lines` a second.
    ///
    /// # Panics
    ///
    /// Panics if the thread cannot be started.
    pub fn new(lines: u32, mut out: impl Write + Send + 'static) -> Self {
        let (queue, receiver) = sync_channel::<Vec<u8>>(QUEUE_LINES);
        thread::Builder::new()
            .name("logs".into())
            .stack_size(STACK_BYTES)
            .spawn(move || {
                while let Ok(line) = receiver.recv() {
                    let _ = out.write_all(&line);
                }
            })
            .expect("a thread can be started");
        let rate = f64::from(lines);
        let bucket =
            TokenBucket { tokens: rate * BURST_S, last_refill: Instant::now(), dropped: 0 };
        Self { queue, rate, layout: JsonLayout::default(), bucket: Mutex::new(bucket) }
    }
}

impl Append for BoundedAppender {
    fn append(&self, record: &Record<'_>, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let Ok(mut bucket) = self.bucket.lock() else { return Ok(()) };
        let now = Instant::now();
        let refill = now.duration_since(bucket.last_refill).as_secs_f64() * self.rate;
        bucket.tokens = (bucket.tokens + refill).min(self.rate * BURST_S);
        bucket.last_refill = now;
        if bucket.tokens < 1.0 {
            bucket.dropped += 1;
            return Ok(());
        }
        bucket.tokens -= 1.0;
        let mut line = self.layout.format(record, diags)?;
        line.push(b'\n');
        if bucket.dropped > 0 {
            line.extend_from_slice(dropped_line(bucket.dropped).as_bytes());
        }
        match self.queue.try_send(line) {
            Ok(()) => bucket.dropped = 0,
            Err(_) => bucket.dropped += 1,
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}

/// Returns the line that tells how many were dropped.
fn dropped_line(lines: u64) -> String {
    let kvs = format!("{{\"event\":\"log_dropped\",\"lines\":{lines}}}");
    format!("{{\"level\":\"WARN\",\"message\":\"lines were dropped\",\"kvs\":{kvs}}}\n")
}
