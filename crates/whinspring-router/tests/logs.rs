//! Logging is bounded and does not block.

use {
    logforth::{
        Append,
        record::{Level, Record},
    },
    std::{
        io::{self, Write},
        sync::{Arc, Condvar, Mutex},
        time::{Duration, Instant},
    },
    whinspring_router::logs::BoundedAppender,
};

/// Number of lines that a test writes.
const LINES: usize = 5_000;

/// Longest time for these lines while the output is not read.
const LIMIT: Duration = Duration::from_secs(2);

/// A writer that blocks until it is resumed.
#[derive(Debug, Clone, Default)]
struct StalledWriter(Arc<(Mutex<State>, Condvar)>);

#[derive(Debug, Default)]
struct State {
    /// Number of writes that have begun.
    entered: usize,
    /// Number of writes that may end.
    allowed: usize,
    text: Vec<u8>,
}

impl StalledWriter {
    fn resume(&self) {
        self.allow(usize::MAX);
    }

    /// Lets `count` writes end.
    fn allow(&self, count: usize) {
        self.0.0.lock().unwrap().allowed = count;
        self.0.1.notify_all();
    }

    fn text(&self) -> String {
        String::from_utf8(self.0.0.lock().unwrap().text.clone()).unwrap()
    }

    /// Waits until `count` writes have begun.
    fn wait_entered(&self, count: usize) {
        let (state, changed) = &*self.0;
        drop(changed.wait_while(state.lock().unwrap(), |state| state.entered < count).unwrap());
    }

    /// Waits until the text contains `part`.
    fn wait_for(&self, part: &str) {
        let end = Instant::now() + LIMIT * 5;
        while !self.text().contains(part) {
            assert!(Instant::now() < end, "{part} is missing: {}", self.text());
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Write for StalledWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let (state, changed) = &*self.0;
        let mut state = state.lock().unwrap();
        state.entered += 1;
        changed.notify_all();
        let mut state = changed.wait_while(state, |state| state.allowed < state.entered).unwrap();
        state.text.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn append(logs: &BoundedAppender, text: &str) {
    let builder = Record::builder().level(Level::Info);
    logs.append(&builder.payload(format_args!("{text}")).build(), &[]).unwrap();
}

#[test]
fn a_stalled_reader_does_not_block_logging() {
    let writer = StalledWriter::default();
    let logs = BoundedAppender::new(1_000_000, writer.clone());
    let start = Instant::now();
    append(&logs, "line 0.");
    writer.wait_entered(1);
    for number in 1..LINES {
        append(&logs, &format!("line {number}."));
    }
    assert!(start.elapsed() < LIMIT, "{:?}", start.elapsed());
    writer.resume();
    writer.wait_for("line 0.");
    writer.wait_for("line 500.");
    append(&logs, "the last line");
    writer.wait_for("the last line");
    let text = writer.text();
    let written = text.matches("\"line ").count();
    assert!(written < LINES, "the queue is bounded");
    let dropped = LINES - written;
    assert!(text.contains(&format!("\"lines\":{dropped}}}")), "{dropped}: {text}");
}

/// The writer may take a line while more are logged, so that dropped lines are reported in parts.
#[test]
fn dropped_lines_are_counted_in_full_when_reported_in_parts() {
    let writer = StalledWriter::default();
    let logs = BoundedAppender::new(1_000_000, writer.clone());
    append(&logs, "line 0.");
    writer.wait_entered(1);
    for number in 1..LINES / 2 {
        append(&logs, &format!("line {number}."));
    }
    writer.allow(1);
    writer.wait_entered(2);
    for number in LINES / 2..LINES {
        append(&logs, &format!("line {number}."));
    }
    writer.resume();
    writer.wait_for(&format!("line {}.", LINES / 2));
    append(&logs, "the last line");
    writer.wait_for("the last line");
    let text = writer.text();
    let written = text.matches("\"line ").count();
    assert_eq!(text.matches("log_dropped").count(), 2, "{text}");
    assert_eq!(LINES - written, reported_drops(&text), "{text}");
}

/// Returns the sum of dropped lines that the text reports.
fn reported_drops(text: &str) -> usize {
    let reports = text.lines().filter(|line| line.contains("\"event\":\"log_dropped\""));
    let counts = reports.map(|line| {
        let (_, count) = line.split_once("\"lines\":").expect("a report has a count");
        count.trim_end_matches('}').parse::<usize>().expect("the count is a number")
    });
    counts.sum()
}

#[test]
fn lines_beyond_the_rate_are_dropped_and_counted() {
    let writer = StalledWriter::default();
    writer.resume();
    let logs = BoundedAppender::new(10, writer.clone());
    for number in 0..100 {
        append(&logs, &format!("line {number}."));
    }
    std::thread::sleep(Duration::from_millis(250));
    append(&logs, "the last line");
    writer.wait_for("the last line");
    let text = writer.text();
    let written = text.matches("\"line ").count();
    assert!((20..=25).contains(&written), "the burst is two seconds of lines: {written}");
    let dropped = 100 - written;
    assert!(text.contains(&format!("\"event\":\"log_dropped\",\"lines\":{dropped}")), "{text}");
}
