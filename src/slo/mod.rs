//! Service-level objectives: error budgets, burn rates, alerts, and what burned each budget.
//!
//! A daemon counts events in a [`Tally`] and sends a [`BurnDelta`] to control at intervals. Control
//! adds the deltas to a [`Burn`], which is part of its replicated state: it is serializable, its
//! size depends only on the number of objectives, and it reads no clock.

mod alert;
mod burn;
mod html;
mod report;
mod ring;
mod tally;

pub use alert::{Alert, Severity};
pub use burn::{BURNER_DIMENSIONS, Burn, BurnRate, Burner, ObjectiveReport};
pub use html::{render_body, render_html};
pub use report::{BurnReport, render_json, render_table};
pub use ring::Counts;
pub use tally::{BurnDelta, Dimension, Dimensions, Event, ObjectiveDelta, Outcome, Tally};
