//! Structured log lines on standard output, rate-limited and non-blocking.
//!
//! Lines go through a queue to a writer thread. A line that exceeds the rate, or finds the queue
//! full because standard output is not read, is dropped and counted; the count is written after the
//! next line that is accepted.

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

/// Capacity of the queue, in lines.
const QUEUE_LINES: usize = 512;

/// Stack size of the writer thread.
const STACK_BYTES: usize = 64 << 10;

/// Burst size, in seconds at the full rate.
const BURST_S: f64 = 2.0;

/// Installs the process's logger, with at most `lines` lines per second.
///
/// # Panics
///
/// Panics if the writer thread cannot be started.
pub fn init(lines: u32) {
    let append = BoundedAppender::new(lines, stdout());
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(Filter::MoreSevereEqual(Level::Info)).append(append))
        .apply();
    set_max_level(LevelFilter::Info);
}

/// Appender with a bounded queue and a rate limit.
#[derive(Debug)]
pub struct BoundedAppender {
    queue: SyncSender<Vec<u8>>,
    /// Lines per second.
    rate: f64,
    layout: JsonLayout,
    bucket: Mutex<TokenBucket>,
}

#[derive(Debug)]
struct TokenBucket {
    /// Lines that may be written now.
    tokens: f64,
    last_refill: Instant,
    /// Lines dropped since the last one that was accepted.
    dropped: u64,
}

impl BoundedAppender {
    /// Creates an appender that writes to `out`, at most `lines` lines per second.
    ///
    /// # Panics
    ///
    /// Panics if the writer thread cannot be started.
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
            .expect("the writer thread can be started");
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

/// Returns a log line that reports the number of dropped lines.
fn dropped_line(lines: u64) -> String {
    let kvs = format!("{{\"event\":\"log_dropped\",\"lines\":{lines}}}");
    format!(
        "{{\"level\":\"WARN\",\"message\":\"log lines over the limit dropped\",\"kvs\":{kvs}}}\n"
    )
}
