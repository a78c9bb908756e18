//! `yuccahold dev`: a cell to try things on, or a demonstration that ends by itself.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use slog::Logger;

use super::cell::{DevCell, Place};
use super::demo::demonstrate;
use super::live;
use super::summary::Summary;
use crate::document::{self, Document};
use crate::error::{Error, Result, Step};
use crate::exit_codes::ExitCode;

/// The examples, so that a demonstration needs no file.
const EXAMPLES: [(&str, &str); 2] = [
    (
        "examples/massfenster.yaml",
        include_str!("../../examples/massfenster.yaml"),
    ),
    (
        "examples/torres.yaml",
        include_str!("../../examples/torres.yaml"),
    ),
];

/// Port of the console and the operators' interface.
const CONSOLE_PORT: u16 = 7400;

/// Port of the callers' interface.
const CALLERS_PORT: u16 = 7480;

/// Time in which the longest task of a document ends on the stand-in workers of a demonstration.
const LONGEST_RUN: Duration = Duration::from_secs(4);

/// What `yuccahold dev` does.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DevOptions {
    /// Document; the first example when absent, both in a demonstration.
    pub document: Option<PathBuf>,
    /// Folder of the cell's files; `yuccahold-data` when absent, a temporary one that is
    /// removed afterwards in a demonstration.
    pub data: Option<PathBuf>,
    /// Drives a short mixed load, prints a summary and ends.
    pub demo: bool,
    /// Whether a live line is shown.
    pub live: bool,
    /// Whether the summary is printed as JSON.
    pub json: bool,
}

/// Runs a cell in this process.
pub async fn run(options: DevOptions, log: &Logger) -> Result<ExitCode> {
    if options.demo {
        return run_demo(&options, log).await;
    }
    let document = documents(&options)?.swap_remove(0);
    let place = Place {
        data: options.data.unwrap_or_else(|| "yuccahold-data".into()),
        console: SocketAddr::from((Ipv4Addr::LOCALHOST, CONSOLE_PORT)),
        callers: SocketAddr::from((Ipv4Addr::LOCALHOST, CALLERS_PORT)),
    };
    let cell = DevCell::start(&place, &document, 1.0, log).await?;
    print_addresses(&cell, &place);
    tokio::select! {
        () = live_if(&cell, options.live) => {}
        _ = tokio::signal::ctrl_c() => {}
    }
    cell.stop().await;
    Ok(ExitCode::Success)
}

pub(super) async fn live_if(cell: &DevCell, wanted: bool) {
    match wanted {
        true => live::show(cell).await,
        false => std::future::pending().await,
    }
}

fn print_addresses(cell: &DevCell, place: &Place) {
    println!("console  http://{}/", cell.console());
    println!("callers  http://{}/v1/services/...", cell.callers());
    println!("metrics  http://{}/metrics", cell.callers());
    println!("data     {}", place.data.display());
    println!("Ctrl-C stops the cell.");
}

async fn run_demo(options: &DevOptions, log: &Logger) -> Result<ExitCode> {
    let mut summaries = Vec::new();
    for document in documents(options)? {
        let summary = demo_of(&document, options, log).await?;
        if !options.json {
            print!("{summary}");
        }
        summaries.push(summary);
    }
    if options.json {
        let text = serde_json::to_string_pretty(&summaries)
            .map_err(|e| Error::caused(Step::Codec, "writing the summary", e))?;
        println!("{text}");
    }
    let good = summaries.iter().all(Summary::good);
    Ok(match good {
        true => ExitCode::Success,
        false => ExitCode::OutcomeMissed,
    })
}

async fn demo_of(document: &Document, options: &DevOptions, log: &Logger) -> Result<Summary> {
    let folder = match &options.data {
        Some(data) => DemoFolder::kept(data.join(document.cell.as_str())),
        None => DemoFolder::temporary(),
    };
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let place = Place {
        data: folder.path.clone(),
        console: any,
        callers: any,
    };
    let cell = DevCell::start(&place, document, time_scale(document), log).await?;
    if !options.json {
        println!("{}: console http://{}/", document.cell, cell.console());
    }
    let summary = demonstrate(&cell, document, options.live).await;
    cell.stop().await;
    summary
}

/// Shrinks run times so that the longest one fits into a demonstration.
fn time_scale(document: &Document) -> f64 {
    let longest = document.kinds.values().map(|kind| kind.run_time).max();
    let longest = longest.unwrap_or_default().as_secs_f64();
    match longest > 0.0 {
        true => (LONGEST_RUN.as_secs_f64() / longest).min(1.0),
        false => 1.0,
    }
}

fn documents(options: &DevOptions) -> Result<Vec<Document>> {
    if let Some(path) = &options.document {
        return Ok(vec![load(path)?]);
    }
    let count = if options.demo { EXAMPLES.len() } else { 1 };
    let examples = EXAMPLES.iter().take(count);
    examples
        .map(|(name, text)| {
            document::parse(name, text).map_err(|e| Error::new(Step::Document, e.to_string()))
        })
        .collect()
}

fn load(path: &Path) -> Result<Document> {
    document::load(path).map_err(|problems| {
        let report = miette::Report::new(problems);
        Error::new(Step::Document, format!("{report:?}"))
    })
}

/// The folder of a demonstration.
struct DemoFolder {
    path: PathBuf,
    temporary: bool,
}

impl DemoFolder {
    fn kept(path: PathBuf) -> Self {
        Self {
            path,
            temporary: false,
        }
    }

    fn temporary() -> Self {
        let name = format!("yuccahold-demo-{:016x}", rand::random::<u64>());
        Self {
            path: std::env::temp_dir().join(name),
            temporary: true,
        }
    }
}

impl Drop for DemoFolder {
    fn drop(&mut self) {
        if self.temporary {
            let _ = std::fs::remove_dir_all(&self.path);
        }
    }
}
