//! Describes the actions that the cell takes when one document replaces another.

use super::model::{Document, JobKind, Workload};
use super::validate::target_name;
use crate::workload::WorkClass;

/// Lists the effects, each a sentence that starts with a verb.
pub(super) fn effects(old: &Document, new: &Document) -> Vec<String> {
    let mut out = Vec::new();
    workloads(old, new, &mut out);
    services(old, new, &mut out);
    kinds(old, new, &mut out);
    teams(old, new, &mut out);
    drains(old, new, &mut out);
    out
}

fn tasks(n: u32) -> String {
    if n == 1 {
        "1 task".to_owned()
    } else {
        format!("{n} tasks")
    }
}

fn workloads(old: &Document, new: &Document, out: &mut Vec<String>) {
    for (name, workload) in &old.workloads {
        if !new.workloads.contains_key(name) {
            out.push(format!("stop {} of `{name}`", tasks(workload.tasks)));
        }
    }
    for (name, workload) in &new.workloads {
        match old.workloads.get(name) {
            None => out.push(format!("start {} of `{name}`", tasks(workload.tasks))),
            Some(before) => changed_workload(name, (old, before), (new, workload), out),
        }
    }
}

fn changed_workload(
    name: &str,
    (old, before): (&Document, &Workload),
    (new, after): (&Document, &Workload),
    out: &mut Vec<String>,
) {
    let kind_before = old.kinds.get(&before.kind);
    let Some(kind) = new.kinds.get(&after.kind) else {
        return;
    };
    let same_spec = kind_before.is_some_and(|k| needs_no_restart(k, kind))
        && before.kind == after.kind
        && before.payload == after.payload;
    let long_running = matches!(kind.class, WorkClass::Service | WorkClass::Watcher);
    if !same_spec && !long_running {
        out.push(format!(
            "cancel `{name}` unless it has ended; its changed form starts only if nothing of the \
             old one runs"
        ));
    } else if !same_spec {
        out.push(format!(
            "stop {} of `{name}`, then start {} in their changed form",
            tasks(before.tasks),
            tasks(after.tasks)
        ));
    } else if after.tasks > before.tasks {
        let more = after.tasks - before.tasks;
        out.push(format!("start {more} more of `{name}`"));
    } else if after.tasks < before.tasks {
        let fewer = tasks(before.tasks - after.tasks);
        out.push(format!("stop {fewer} of `{name}`"));
    }
}

/// Returns true if running tasks need no restart when their kind changes from `a` to `b`.
fn needs_no_restart(a: &JobKind, b: &JobKind) -> bool {
    // `tasks` is only the default of submitted jobs; a workload declares its own number.
    let a = JobKind {
        tasks: b.tasks,
        ..a.clone()
    };
    a == *b
}

fn services(old: &Document, new: &Document, out: &mut Vec<String>) {
    for name in old.services.keys() {
        if !new.services.contains_key(name) {
            out.push(format!("refuse requests to service `{name}` as not run"));
        }
    }
    for name in new.services.keys() {
        if !old.services.contains_key(name) {
            out.push(format!("take requests for service `{name}`"));
        }
    }
}

fn kinds(old: &Document, new: &Document, out: &mut Vec<String>) {
    for name in old.kinds.keys() {
        if !new.kinds.contains_key(name) {
            out.push(format!(
                "refuse new jobs of kind `{name}`; those accepted go on"
            ));
        }
    }
}

fn teams(old: &Document, new: &Document, out: &mut Vec<String>) {
    for (name, team) in &new.teams {
        let Some(before) = old.teams.get(name) else {
            continue;
        };
        if !before.quota.fits_in(&team.quota) {
            out.push(format!(
                "let other teams take back what `{name}` uses above its smaller quota"
            ));
        }
    }
}

fn drains(old: &Document, new: &Document, out: &mut Vec<String>) {
    for drain in &new.drains {
        if !old.drains.iter().any(|d| d.target == drain.target) {
            out.push(format!(
                "move everything off {} within {} s",
                target_name(&drain.target),
                drain.within.as_secs()
            ));
        }
    }
    for drain in &old.drains {
        if !new.drains.iter().any(|d| d.target == drain.target) {
            out.push(format!(
                "place work on {} again",
                target_name(&drain.target)
            ));
        }
    }
}
