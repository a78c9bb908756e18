//! Log lines gathered in memory and written to standard output in batches.
//!
//! A line costs its caller an append to a buffer; one thread writes what has gathered. Nobody
//! waits for a reader that is slow or gone: when the buffer is full, lines are dropped and their
//! number is written once there is room again.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::Duration;

/// Bytes that wait to be written before lines are dropped: some seconds of the busiest leader.
const CAPACITY: usize = 1024 * 1024;
/// Time between two writes. Each wakes a thread and costs a system call, whatever its size.
const WRITE_EVERY: Duration = Duration::from_millis(100);
/// Most bytes in one write, but for a single longer line. Readers that take a block a write cut
/// what went past theirs: four in five lines of a busy second were missing.
const BLOCK: usize = 4096;
/// Longest line in bytes; one that is longer is cut by its serializer's caller, or dropped here.
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

/// Takes whole lines; cheap to write to.
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

    /// Ends a line.
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

/// Writes the lines until it is dropped; what waits then is written first.
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
            // A writer that panicked has nothing left to write.
            let _ = thread.join();
        }
    }
}

fn write_all(shared: &Shared, mut out: impl Write) {
    loop {
        let state = shared.lock();
        let (mut state, _) = shared
            .closing
            .wait_timeout_while(state, WRITE_EVERY, |s| !s.closed)
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
        // A reader that is gone must not end the daemon.
        let _ = write_blocks(&mut out, &bytes);
        if closed {
            return;
        }
    }
}

/// Writes whole lines, as many in a block as fit.
fn write_blocks(out: &mut impl Write, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        let block = &bytes[..bytes.len().min(BLOCK)];
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
