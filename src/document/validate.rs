//! Validates references between the parts of a document and values that contradict each other;
//! all findings are collected.

use std::collections::BTreeSet;
use std::time::Duration;

use compact_str::CompactString;

use super::model::{
    Document, Drain, DrainTarget, JobKind, Objective, ObjectiveTarget, Policy, Route, Service,
};
use super::schema::FORMAT;
use crate::resources::Resources;
use crate::schema::Finding;
use crate::workload::{MemberLoss, WorkClass};

/// Minimum and maximum worker lease. A shorter one would expire during an ordinary process pause;
/// a longer one would delay the restart of a lost worker's tasks.
const LEASE_BOUNDS: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(300));
/// Minimum retention of idempotency keys. Callers resend requests well within it.
const MIN_KEY_RETENTION: Duration = Duration::from_secs(60);
/// Maximum body size in bytes; an entry host buffers whole bodies in memory.
const MAX_BODY: u64 = 8 * 1024 * 1024;
/// Path prefix of the system's own API, which routes must not overlap.
const RESERVED_PREFIX: &str = "/v1";

/// Checks the rules that involve more than one value, and those that the field types don't check.
pub fn validate(d: &Document) -> Vec<Finding> {
    let mut c = Checker {
        document: d,
        findings: Vec::new(),
    };
    c.format();
    c.zones();
    c.teams();
    for (name, service) in &d.services {
        c.service(name, service);
    }
    c.routes();
    for (name, kind) in &d.kinds {
        c.kind(name, kind);
    }
    for (name, workload) in &d.workloads {
        let path = format!("workloads.{name}.kind");
        c.reference(&path, "job kind", &workload.kind, d.kinds.keys());
    }
    c.objectives();
    c.policy(&d.policy);
    c.drains();
    c.findings
}

struct Checker<'a> {
    document: &'a Document,
    findings: Vec<Finding>,
}

impl Checker<'_> {
    fn add_finding(&mut self, path: impl Into<String>, message: impl Into<String>) {
        self.findings.push(Finding::new(path, message));
    }

    fn reference<'k>(
        &mut self,
        path: &str,
        what: &str,
        name: &str,
        known: impl Iterator<Item = &'k CompactString> + Clone,
    ) {
        if known.clone().any(|k| k == name) {
            return;
        }
        let help = match crate::schema::nearest(name, known.clone().map(CompactString::as_str)) {
            Some(near) => format!("did you mean `{near}`?"),
            None => format!(
                "declare it, or name one that is declared ({})",
                join_first(known)
            ),
        };
        let message = format!("no {what} `{name}` is declared");
        self.findings
            .push(Finding::new(path, message).with_help(help));
    }

    fn format(&mut self) {
        if self.document.format != FORMAT {
            let message = format!(
                "this document has format {}; this program reads format {FORMAT}",
                self.document.format
            );
            let help = "see \"Format versions\" in docs/DOCUMENT.md";
            self.findings
                .push(Finding::new("format", message).with_help(help));
        }
    }

    fn zones(&mut self) {
        if self.document.zones.is_empty() {
            self.add_finding("zones", "a cell has at least one availability zone");
        }
        let names = self.document.zones.iter().map(|z| z.name.clone());
        self.duplicates("zones", "", "availability zone", names);
    }

    fn duplicates(
        &mut self,
        path: &str,
        key: &str,
        what: &str,
        names: impl Iterator<Item = impl Ord + std::fmt::Display + Clone>,
    ) {
        let mut seen = BTreeSet::new();
        for (i, name) in names.enumerate() {
            if !seen.insert(name.clone()) {
                let message = format!("{what} `{name}` is given twice");
                self.add_finding(format!("{path}.{i}{key}"), message);
            }
        }
    }

    fn teams(&mut self) {
        let quotas = self.document.teams.values().map(|t| t.quota);
        let total = quotas
            .clone()
            .try_fold(Resources::ZERO, |sum, q| sum.checked_add(&q));
        if total.is_none() {
            self.add_finding("teams", "the quotas together are more than can be counted");
        }
    }

    fn team(&mut self, path: &str, name: &str) {
        let teams = &self.document.teams;
        self.reference(path, "team", name, teams.keys());
    }

    fn service(&mut self, name: &str, s: &Service) {
        let path = format!("services.{name}");
        self.team(&format!("{path}.team"), &s.team);
        if s.deadline.is_zero() {
            let message = "a deadline of nothing refuses every request";
            self.add_finding(format!("{path}.deadline"), message);
        }
        if s.slots > s.connections {
            let message = format!(
                "{} slots can't be used over {} connections, which carry one request each",
                s.slots, s.connections
            );
            self.add_finding(format!("{path}.slots"), message);
        }
        if s.body_limit > MAX_BODY {
            let message = format!("bodies are held whole; {MAX_BODY} bytes is the most");
            self.add_finding(format!("{path}.body_limit"), message);
        }
        if s.hedge_percentile > 0 && !s.idempotent {
            let message = "hedging runs a request twice, so the service must be `idempotent: true`";
            self.add_finding(format!("{path}.hedge_percentile"), message);
        }
    }

    fn routes(&mut self) {
        let routes = &self.document.routes;
        for (i, route) in routes.iter().enumerate() {
            self.route(i, route);
        }
        let prefixes = routes.iter().map(|r| r.prefix.clone());
        self.duplicates("routes", ".prefix", "prefix", prefixes);
    }

    fn route(&mut self, i: usize, route: &Route) {
        let services = self.document.services.keys();
        let path = format!("routes.{i}.service");
        self.reference(&path, "service", &route.service, services);
        let path = format!("routes.{i}.prefix");
        let prefix = route.prefix.as_str();
        let clean = |c: char| c.is_ascii_graphic() && !"?#%".contains(c);
        if !prefix.starts_with('/') || !prefix.chars().all(clean) || prefix.contains("//") {
            let message = format!(
                "`{}` is no path prefix such as `/checks`",
                prefix.escape_debug()
            );
            self.add_finding(path, message);
        } else if prefix == RESERVED_PREFIX || prefix.starts_with("/v1/") {
            self.add_finding(path, "prefixes under `/v1` are the system's own");
        }
    }

    fn kind(&mut self, name: &str, k: &JobKind) {
        let path = format!("kinds.{name}");
        self.team(&format!("{path}.team"), &k.team);
        let known: Vec<_> = self.document.zones.iter().map(|z| &z.name).collect();
        for (i, zone) in k.zones.iter().enumerate() {
            let path = format!("{path}.zones.{i}");
            self.reference(&path, "availability zone", zone, known.iter().copied());
        }
        self.kind_need(&path, k);
        self.kind_class(&path, k);
    }

    fn kind_need(&mut self, path: &str, k: &JobKind) {
        if k.need.millicores == 0 || k.need.memory_mb == 0 {
            let message = "a task needs some of a core and some memory";
            self.add_finding(format!("{path}.need"), message);
        }
        if k.need.checked_mul(k.tasks).is_none() {
            let message = "the tasks together need more than can be counted";
            self.add_finding(format!("{path}.tasks"), message);
        }
        if k.accelerator.is_some() && k.need.accelerators == 0 {
            let message = "an accelerator type is required but `need.accelerators` is 0";
            self.add_finding(format!("{path}.accelerator"), message);
        }
    }

    fn kind_class(&mut self, path: &str, k: &JobKind) {
        let long_running = matches!(k.class, WorkClass::Service | WorkClass::Watcher);
        if long_running && !k.run_time.is_zero() {
            let message = "services and watchers run without end, so they have no run time";
            self.add_finding(format!("{path}.run_time"), message);
        }
        if !long_running && k.run_time.is_zero() {
            let message = "batch jobs and gangs state a `run_time` over zero";
            self.add_finding(format!("{path}.run_time"), message);
        }
        if k.class == WorkClass::Service && k.max_unavailable == 0 {
            let message = "a service of which no task may be away can never be drained or updated";
            self.add_finding(format!("{path}.max_unavailable"), message);
        }
        if k.class != WorkClass::Gang && k.on_member_loss != MemberLoss::default() {
            let message = "only a gang has a rule for the loss of a member";
            self.add_finding(format!("{path}.on_member_loss"), message);
        }
        let restarts = k.on_member_loss != MemberLoss::Fail;
        if k.class == WorkClass::Gang && restarts && !k.idempotent {
            let message = "a gang whose tasks may not run twice can't be restarted after a loss";
            let help = "set `on_member_loss: fail` or `idempotent: true`";
            self.findings
                .push(Finding::new(format!("{path}.on_member_loss"), message).with_help(help));
        }
    }

    fn objectives(&mut self) {
        let objectives = &self.document.objectives;
        for (i, objective) in objectives.iter().enumerate() {
            self.objective(&format!("objectives.{i}"), objective);
        }
        let names = objectives.iter().map(|o| o.name.clone());
        self.duplicates("objectives", ".name", "objective", names);
    }

    fn objective(&mut self, path: &str, o: &Objective) {
        let d = self.document;
        match &o.target {
            ObjectiveTarget::Service(name) if name.is_empty() => {
                self.add_finding(
                    path,
                    "an objective names the `service` or the `kind` it speaks of",
                );
            }
            ObjectiveTarget::Service(name) => {
                let at = format!("{path}.service");
                self.reference(&at, "service", name, d.services.keys());
                let due = d.services.get(name).map(|s| s.deadline);
                if due.is_some_and(|due| o.within > due) {
                    let message =
                        "no answer comes later than the service's `deadline`, which is shorter";
                    self.add_finding(format!("{path}.within"), message);
                }
            }
            ObjectiveTarget::Kind(name) => {
                let at = format!("{path}.kind");
                self.reference(&at, "job kind", name, d.kinds.keys());
            }
        }
        if o.within.is_zero() {
            self.add_finding(format!("{path}.within"), "nothing happens within no time");
        }
        if o.millipercent == 0 || o.millipercent >= 100_000 {
            let message = "a target lies between 0 % and 100 %, so that there is an error budget";
            self.add_finding(format!("{path}.target"), message);
        }
        if o.window < Duration::from_secs(3600) {
            self.add_finding(format!("{path}.window"), "a window is at least `1 h`");
        }
    }

    fn policy(&mut self, p: &Policy) {
        let (least, most) = LEASE_BOUNDS;
        if p.lease < least || p.lease > most {
            self.add_finding("policy.lease", "a lease lies between `1 s` and `5 min`");
        }
        if p.key_retention < MIN_KEY_RETENTION {
            let message = "keys are kept for `1 min` at least, so that resends find them";
            self.add_finding("policy.key_retention", message);
        }
    }

    fn drains(&mut self) {
        let drains = &self.document.drains;
        for (i, drain) in drains.iter().enumerate() {
            self.drain(&format!("drains.{i}"), drain);
        }
        let targets = drains.iter().map(|d| target_name(&d.target));
        self.duplicates("drains", "", "drain of", targets);
        let drained = |z: &CompactString| {
            let whole = |d: &Drain| d.target == DrainTarget::Zone(z.clone());
            drains.iter().any(whole)
        };
        let zones = &self.document.zones;
        if !zones.is_empty() && zones.iter().all(|z| drained(&z.name)) {
            self.add_finding(
                "drains",
                "with every availability zone drained nothing can run",
            );
        }
    }

    fn drain(&mut self, path: &str, drain: &Drain) {
        let zones = self.document.zones.iter().map(|z| &z.name);
        match &drain.target {
            DrainTarget::Worker(name) if name.is_empty() => {
                self.add_finding(
                    path,
                    "a drain names a `worker`, a `zone`, or a `rack` in a `zone`",
                );
            }
            DrainTarget::Worker(_) => {}
            DrainTarget::Zone(zone) | DrainTarget::Rack(zone, _) => {
                let at = format!("{path}.zone");
                self.reference(&at, "availability zone", zone, zones);
            }
        }
    }
}

/// Formats a drain's target for messages.
pub(crate) fn target_name(target: &DrainTarget) -> String {
    match target {
        DrainTarget::Worker(name) => format!("worker {name}"),
        DrainTarget::Rack(zone, rack) => format!("rack {rack} in {zone}"),
        DrainTarget::Zone(zone) => format!("zone {zone}"),
    }
}

/// Joins the first few names for a help text.
fn join_first<'k>(names: impl Iterator<Item = &'k CompactString> + Clone) -> String {
    const SHOWN: usize = 8;
    let total = names.clone().count();
    let mut text = names
        .take(SHOWN)
        .map(CompactString::as_str)
        .collect::<Vec<_>>()
        .join(", ");
    if total == 0 {
        text.push_str("there is none yet");
    } else if total > SHOWN {
        text.push_str(", ...");
    }
    text
}
