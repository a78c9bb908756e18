//! Log lines that are buffered in memory and written to standard output in batches.
//!
//! Logging a line only appends to a buffer; a thread writes the buffer out. A slow or closed reader
//! never blocks a caller: when the buffer is full, lines are dropped, and their number is written
//! with the next batch.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::Duration;

/// Size of the buffer in bytes, above which lines are dropped. It holds several seconds of the
/// busiest leader's log.
const CAPACITY: usize = 1024 * 1024;
/// Time between two batches. Each batch wakes a thread and takes at least one system call.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// Most bytes in one write, except for a single longer line. Readers that read one block per write
/// cut off the rest: with larger writes four in five lines of a busy second were missing.
const MAX_WRITE: usize = 4096;
/// Longest line in bytes; a longer one is dropped.
const MAX_LINE: usize = 16 * 1024;

#[derive(Default)]
struct State {
    waiting: Vec<u8>,
    dropped: u64,
    closed: bool,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    closing: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }
}

/// Writer for log lines: `write` collects one line, `flush` appends it to the shared buffer.
#[derive(Clone, Default)]
pub struct Lines {
    shared: Arc<Shared>,
    line: Vec<u8>,
}

impl Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    /// Ends the line and appends it to the buffer, or drops it when it does not fit.
    fn flush(&mut self) -> io::Result<()> {
        let mut state = self.shared.lock();
        if self.line.len() > MAX_LINE || state.waiting.len() + self.line.len() > CAPACITY {
            state.dropped += 1;
        } else {
            state.waiting.extend_from_slice(&self.line);
        }
        self.line.clear();
        Ok(())
    }
}

/// Owns the writing thread; dropping it writes the buffered lines and ends the thread.
pub struct Writer {
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

impl Writer {
    /// Starts a thread that writes to `out`.
    pub fn start(out: impl Write + Send + 'static) -> io::Result<(Lines, Self)> {
        let lines = Lines::default();
        let shared = Arc::clone(&lines.shared);
        let thread = std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_all(&shared, out))?;
        let writer = Self {
            shared: Arc::clone(&lines.shared),
            thread: Some(thread),
        };
        Ok((lines, writer))
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        self.shared.lock().closed = true;
        self.shared.closing.notify_all();
        if let Some(thread) = self.thread.take() {
            // If the thread has panicked, there is nothing left to do.
            let _ = thread.join();
        }
    }
}

fn write_all(shared: &Shared, mut out: impl Write) {
    loop {
        let state = shared.lock();
        let (mut state, _) = shared
            .closing
            .wait_timeout_while(state, WRITE_INTERVAL, |s| !s.closed)
            .expect("no holder panics");
        let closed = state.closed;
        let mut bytes = std::mem::take(&mut state.waiting);
        let dropped = std::mem::take(&mut state.dropped);
        drop(state);
        if dropped > 0 {
            let line = format!(
                "{{\"level\":\"WARN\",\"message\":\"log lines dropped\",\"count\":{dropped}}}\n"
            );
            bytes.extend_from_slice(line.as_bytes());
        }
        // A closed reader must not end the daemon.
        let _ = write_blocks(&mut out, &bytes);
        if closed {
            return;
        }
    }
}

/// Writes whole lines, as many per write as fit into `MAX_WRITE`.
fn write_blocks(out: &mut impl Write, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        let block = &bytes[..bytes.len().min(MAX_WRITE)];
        let line_end = |within: &[u8]| within.iter().rposition(|b| *b == b'\n');
        let first_line = || bytes.iter().position(|b| *b == b'\n');
        let end = line_end(block).or_else(first_line);
        let end = end.map_or(bytes.len(), |at| at + 1);
        out.write_all(&bytes[..end])?;
        out.flush()?;
        bytes = &bytes[end..];
    }
    Ok(())
}
