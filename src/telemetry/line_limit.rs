//! A limit on repeated log lines.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::ids::Timestamp;

const INTERVAL: Duration = Duration::from_secs(1);

/// Allows a number of log lines in each second; clones share it.
#[derive(Clone, Debug)]
pub(crate) struct LineLimit {
    most: u32,
    /// Start of the current second, and the lines written in it.
    written: Arc<Mutex<(Timestamp, u32)>>,
}

impl LineLimit {
    /// Creates a limit of `most` lines a second.
    pub(crate) fn per_second(most: u32) -> Self {
        Self {
            most,
            written: Arc::default(),
        }
    }

    /// Whether a line may be written at `now`, in monotonic time; counts it if so.
    pub(crate) fn take(&self, now: Timestamp) -> bool {
        let mut written = self.written.lock().expect("no holder panics");
        let (began, lines) = &mut *written;
        if now >= *began + INTERVAL {
            (*began, *lines) = (now, 0);
        }
        let allowed = *lines < self.most;
        *lines += u32::from(allowed);
        allowed
    }
}
