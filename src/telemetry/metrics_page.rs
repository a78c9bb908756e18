//! The process's metrics recorder and its text page for Prometheus.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};

use crate::error::{Error, Result, Step};

/// Upper bounds in seconds of every histogram whose name ends in `_seconds`.
///
/// Fixed buckets keep memory bounded and can be added up over daemons.
const SECONDS: [f64; 16] = [
    0.0001, 0.000_25, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5,
    5.0, 30.0,
];

static PAGE: OnceLock<MetricsPage> = OnceLock::new();

/// Renders every metric of the process.
#[derive(Clone)]
pub struct MetricsPage(PrometheusHandle);

impl MetricsPage {
    /// Gives the page in Prometheus's text format. It also folds in what histograms collected,
    /// so memory stays bounded for as long as somebody reads the page or calls `upkeep`.
    pub fn render(&self) -> String {
        self.0.render()
    }

    /// Folds in what histograms collected since the last call; wanted every few seconds.
    pub fn upkeep(&self) {
        self.0.run_upkeep();
    }
}

/// Installs the recorder for the whole process; later calls give the same page.
pub fn install_metrics() -> Result<MetricsPage> {
    if let Some(page) = PAGE.get() {
        return Ok(page.clone());
    }
    let recorder = PrometheusBuilder::new()
        .set_buckets_for_metric(Matcher::Suffix("_seconds".to_owned()), &SECONDS)
        .map_err(|e| Error::caused(Step::Settings, "setting up metrics", e))?
        .build_recorder();
    let page = MetricsPage(recorder.handle());
    // Two parts of one process (as in `yuccahold dev`) may race here. The recorder of the one
    // that set the page is installed; the other takes that page.
    if PAGE.set(page).is_ok() {
        metrics::set_global_recorder(recorder)
            .map_err(|e| Error::caused(Step::Settings, "installing the metrics recorder", e))?;
    }
    PAGE.get()
        .cloned()
        .ok_or_else(|| Error::new(Step::Settings, "the metrics recorder is missing"))
}
