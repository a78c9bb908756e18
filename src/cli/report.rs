//! `report burn`: how the objectives' error budgets burn.

use std::path::Path;

use super::client::Client;
use super::config::{Config, Format};
use super::{Failure, output};
use crate::ExitCode;
use crate::error::{Error, Step};
use crate::slo::{self, BurnReport};

pub(super) async fn burn(config: &Config, html: Option<&Path>) -> Result<ExitCode, Failure> {
    let answer = Client::new(config)?.get("/v1/burn").await?;
    let report: BurnReport = serde_json::from_value(answer)
        .map_err(|e| Error::caused(Step::Codec, "reading the burn report", e))?;
    match config.format {
        Format::Json => output::print(&format!("{}\n", slo::render_json(&report)?)),
        Format::Text => output::print(&slo::render_table(&report)),
    }
    if let Some(path) = html {
        let page = slo::render_html(&report)?;
        std::fs::write(path, page).map_err(|e| {
            Error::caused(Step::Storage, "writing the report", e).with_peer(path.display())
        })?;
    }
    Ok(ExitCode::Success)
}
