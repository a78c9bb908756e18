//! Setup of logging (`slog`) and metrics (`metrics`) at the start of a daemon.

mod line_limit;
mod logs;
mod metrics_page;
mod stdout;

pub(crate) use line_limit::LineLimit;
pub use logs::{LogFormat, LogGuard, discard, json_logger, logger, stdout_logger};
pub use metrics_page::{MetricsPage, install_metrics};
pub use stdout::{Lines, Writer};
