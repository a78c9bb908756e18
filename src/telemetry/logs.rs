//! Loggers: readable lines on a terminal, one JSON object per line otherwise.

use std::io::{IsTerminal, Write};

use super::stdout::Writer;
use slog::{Drain, FnValue, Level, Logger, PushFnValue, Record, o};

/// Queued records above which new ones are dropped; their number is logged.
const QUEUE_LEN: usize = 4096;

/// Output format of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// `Human` when standard error is a terminal, `Json` otherwise.
    Auto,
    /// Readable lines with colours where the terminal has them.
    Human,
    /// One JSON object per line.
    Json,
}

/// Keeps the log thread alive; dropping it writes the queued records and ends the thread.
pub struct LogGuard {
    _thread: slog_async::AsyncGuard,
}

/// Creates the logger of a daemon, which writes to standard error from a thread of its own.
///
/// A slow terminal or pipe never blocks the caller: when the queue is full, records are dropped
/// and their number is logged.
pub fn logger(daemon: &'static str, format: LogFormat, level: Level) -> (Logger, LogGuard) {
    let human = match format {
        LogFormat::Auto => std::io::stderr().is_terminal(),
        LogFormat::Human => true,
        LogFormat::Json => false,
    };
    if human {
        let decorator = slog_term::TermDecorator::new().stderr().build();
        let drain = slog_term::FullFormat::new(decorator)
            .use_utc_timestamp()
            .build();
        return spawn(daemon, drain.fuse(), level);
    }
    spawn(daemon, json_drain(std::io::stderr()).fuse(), level)
}

/// Creates the logger of a daemon whose platform collects JSON lines from standard output.
pub fn stdout_logger(daemon: &'static str) -> std::io::Result<(Logger, Writer)> {
    let (lines, writer) = Writer::start(std::io::stdout())?;
    Ok((json_logger(daemon, lines), writer))
}

/// Creates a logger that writes JSON lines to `writer` from the calling thread.
pub fn json_logger(daemon: &'static str, writer: impl Write + Send + 'static) -> Logger {
    let drain = std::sync::Mutex::new(json_drain(writer)).fuse();
    Logger::root(drain, o!("daemon" => daemon))
}

/// Creates a logger that drops all records.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}

fn json_drain<W: Write>(writer: W) -> slog_json::Json<W> {
    slog_json::Json::new(writer)
        .set_flush(true)
        .add_key_value(o!(
            "at" => FnValue(|_: &Record<'_>| unix_seconds()),
            "level" => FnValue(|record: &Record<'_>| record.level().as_str()),
            "message" => PushFnValue(|record: &Record<'_>, serializer| serializer.emit(record.msg())),
        ))
        .build()
}

fn unix_seconds() -> f64 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0.0, |since| since.as_secs_f64())
}

fn spawn(
    daemon: &'static str,
    drain: impl Drain<Ok = (), Err = slog::Never> + Send + 'static,
    level: Level,
) -> (Logger, LogGuard) {
    let (drain, thread) = slog_async::Async::new(drain)
        .chan_size(QUEUE_LEN)
        .thread_name("log".to_owned())
        .build_with_guard();
    let drain = drain.filter_level(level).fuse();
    (
        Logger::root(drain, o!("daemon" => daemon)),
        LogGuard { _thread: thread },
    )
}
