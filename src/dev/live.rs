//! A live line of what happens in a development cell.

use std::io::Write;
use std::time::Duration;

use super::cell::DevCell;
use super::summary::packing;
use crate::state::{TeamRow, WorkerRow};

/// Time between two lines.
const INTERVAL: Duration = Duration::from_secs(1);

/// Rewrites one line on the terminal until it is dropped.
pub(super) async fn show(cell: &DevCell) {
    loop {
        if let Some(line) = line(cell).await {
            print!("\r\x1b[K{line}");
            let _ = std::io::stdout().flush();
        }
        tokio::time::sleep(INTERVAL).await;
    }
}

async fn line(cell: &DevCell) -> Option<String> {
    let workers = cell.table::<WorkerRow>("workers").await?;
    let teams = cell.table::<TeamRow>("teams").await?;
    let running: u32 = teams.iter().map(|team| team.running).sum();
    let waiting: u32 = teams.iter().map(|team| team.waiting).sum();
    let minions = cell.minions().iter().map(|minion| minion.counts());
    let requests: u64 = minions.map(|counts| counts.begun).sum();
    Some(format!(
        "workers {}  tasks running {running}  waiting {waiting}  packing {:.0} %  requests {requests}",
        workers.len(),
        packing(&workers) * 100.0,
    ))
}
