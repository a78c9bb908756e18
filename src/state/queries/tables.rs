//! Rows of the operators' tables that come from the replicated state.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::TeamName;
use crate::state::Cell;
use crate::state::records::{TaskPhase, WorkerRecord};
use crate::state::{AuditRow, RevisionRow, TeamRow, WorkerRow};
use crate::wire::JobView;

impl Cell {
    /// The `limit` jobs accepted last, newest first.
    pub fn job_views(&self, limit: usize) -> Vec<JobView> {
        let latest = self.jobs.values().rev().take(limit);
        latest
            .filter_map(|job| self.view_job(&job.spec.name))
            .collect()
    }

    /// Workers sorted by name; `silent` returns the time since a worker's last poll.
    pub fn worker_rows(&self, silent: impl Fn(u32) -> Duration) -> Vec<WorkerRow> {
        let numbers = self.worker_numbers.values();
        let rows = numbers.filter_map(|number| {
            let worker = self.workers.get(number)?;
            Some(worker_row(worker, silent(*number)))
        });
        rows.collect()
    }

    /// Teams of the document with their quotas and the resources that their running tasks use.
    pub fn team_rows(&self) -> Vec<TeamRow> {
        let document = self.document();
        let rows = document.teams.iter().map(|(name, team)| {
            let row = TeamRow {
                name: name.clone(),
                quota: team.quota,
                ..TeamRow::default()
            };
            (name.clone(), row)
        });
        let mut rows: BTreeMap<TeamName, TeamRow> = rows.collect();
        for job in self.jobs.values().filter(|job| job.ended.is_none()) {
            let Some(row) = rows.get_mut(&job.spec.team) else {
                continue;
            };
            row.waiting += job.count(|p| *p == TaskPhase::Waiting);
            for running in job.tasks.iter().filter_map(|task| task.running()) {
                row.running += 1;
                row.used = row.used.checked_add(&running.granted).unwrap_or(row.used);
            }
        }
        rows.into_values().collect()
    }

    /// Accepted documents that are still kept, newest first.
    pub fn revision_rows(&self) -> Vec<RevisionRow> {
        let records = self.documents.iter().rev();
        let rows = records.map(|record| RevisionRow {
            revision: record.revision,
            at: record.at,
            who: record.who.clone(),
        });
        rows.collect()
    }

    /// Entries of the audit log, newest first.
    pub fn audit_rows(&self) -> Vec<AuditRow> {
        let records = self.audit.iter().rev();
        let rows = records.map(|record| AuditRow {
            at: record.at,
            who: record.who.clone(),
            what: record.what.to_string(),
        });
        rows.collect()
    }
}

fn worker_row(worker: &WorkerRecord, silent: Duration) -> WorkerRow {
    let state = match worker {
        worker if worker.quarantined => "quarantined",
        worker if worker.drain.is_some() || worker.leaving => "draining",
        _ => "ready",
    };
    WorkerRow {
        id: worker.spec.id.clone(),
        zone: worker.spec.zone.clone(),
        rack: worker.spec.rack.clone(),
        capacity: worker.spec.capacity,
        accelerator: worker.spec.accelerator.clone(),
        granted: worker.granted,
        runs: worker.runs.len() as u32,
        state: state.into(),
        silent,
    }
}
