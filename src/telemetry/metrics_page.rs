//! The process-wide metrics recorder and its page in the Prometheus text format.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};

use crate::error::{Error, Result, Step};

/// Upper bucket bounds in seconds of every histogram whose name ends in `_seconds`.
///
/// Fixed buckets keep memory bounded and can be summed over daemons.
const BUCKET_BOUNDS: [f64; 16] = [
    0.0001, 0.000_25, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5,
    5.0, 30.0,
];

static PAGE: OnceLock<MetricsPage> = OnceLock::new();

/// Handle that renders all metrics of the process; cheap to clone.
#[derive(Clone)]
pub struct MetricsPage(PrometheusHandle);

impl MetricsPage {
    /// Renders the page in the Prometheus text format. It also folds collected histogram samples
    /// into their buckets, so memory stays bounded while the page is read or `upkeep` is called.
    pub fn render(&self) -> String {
        self.0.render()
    }

    /// Folds histogram samples collected since the last call into their buckets. It has to be called
    /// every few seconds to keep memory bounded.
    pub fn upkeep(&self) {
        self.0.run_upkeep();
    }
}

/// Installs the recorder for the whole process; later calls return the same page.
pub fn install_metrics() -> Result<MetricsPage> {
    if let Some(page) = PAGE.get() {
        return Ok(page.clone());
    }
    let recorder = PrometheusBuilder::new()
        .set_buckets_for_metric(Matcher::Suffix("_seconds".to_owned()), &BUCKET_BOUNDS)
        .map_err(|e| Error::caused(Step::Settings, "setting up metrics", e))?
        .build_recorder();
    let page = MetricsPage(recorder.handle());
    // Two daemons in one process (as in `yuccahold dev`) may race here. The one that sets the page
    // installs its recorder; the other one uses that page.
    if PAGE.set(page).is_ok() {
        metrics::set_global_recorder(recorder)
            .map_err(|e| Error::caused(Step::Settings, "installing the metrics recorder", e))?;
    }
    PAGE.get()
        .cloned()
        .ok_or_else(|| Error::new(Step::Settings, "the metrics recorder is missing"))
}
