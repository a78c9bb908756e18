//! Load on real daemons: open loop with seeded arrivals, so that waiting is never hidden by a
//! caller that waits too. Also calls minions directly in the same run, for comparison.

mod arrivals;
mod bound;
mod client;
mod compare;
mod driver;
mod html;
mod jobs;
mod options;
mod process;
mod report;
mod samples;

pub use arrivals::arrivals;
pub use bound::{Choice, waiting};
pub use compare::{Change, Comparison, compare};
pub use driver::run;
pub use html::render_html;
pub use options::{Arrivals, JobLoad, LoadOptions, RequestLoad, Watched};
pub use process::{ProcessUse, Usage, read_use};
pub use report::{Added, JobsReport, LoadReport, PathReport, render_json, render_table};
pub use samples::{Samples, Second, Summary};
