//! Scheduling mechanisms that an operator can switch off by name.

use std::collections::BTreeSet;

/// A part of the scheduling policy that can be switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mechanism {
    /// Reserves room for tasks that cannot start yet.
    Reservations,
    /// Starts work in reserved room if it should end before the room is needed.
    Backfill,
    /// Stops less urgent runs for more urgent tasks.
    Preemption,
    /// Orders jobs past their objective behind jobs that can still meet theirs.
    Lateness,
    /// Distinguishes fast and slow minions by the run times observed on each.
    LearntSpeeds,
    /// Corrects declared run times by those observed in each queue.
    LearntTimes,
    /// Extends objectives by allowances for tasks that run in several waves, for failed runs and
    /// for questions to the policy service.
    Allowances,
    /// Estimates a run's remaining time from the progress that its minion lists.
    Progress,
    /// Prefers the minion on which the least of the scarce resources is left over.
    TightFit,
    /// Asks the policy service about steps before they are ready.
    AskAhead,
    /// Orders jobs beyond the share of their workspace behind all others.
    ExcessLast,
    /// At a workspace's limit, stops its own less urgent runs for its more urgent tasks.
    LimitPreemption,
    /// Starts copies of late tasks where their step allows it.
    Copies,
    /// Refuses jobs that can't be served in useful time.
    Admission,
}

impl Mechanism {
    /// All mechanisms, in the order of the operators' documentation.
    pub const ALL: [Self; 14] = [
        Self::Reservations,
        Self::Backfill,
        Self::Preemption,
        Self::Lateness,
        Self::LearntSpeeds,
        Self::LearntTimes,
        Self::Allowances,
        Self::Progress,
        Self::TightFit,
        Self::AskAhead,
        Self::ExcessLast,
        Self::LimitPreemption,
        Self::Copies,
        Self::Admission,
    ];

    /// Name on the command line, as taken by [`Mechanisms::without`]. Two differ from the variants:
    /// `claims` and `surplus-last`.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Reservations => "claims",
            Self::Backfill => "backfill",
            Self::Preemption => "preemption",
            Self::Lateness => "lateness",
            Self::LearntSpeeds => "learnt-speeds",
            Self::LearntTimes => "learnt-times",
            Self::Allowances => "allowances",
            Self::Progress => "progress",
            Self::TightFit => "tight-fit",
            Self::AskAhead => "ask-ahead",
            Self::ExcessLast => "surplus-last",
            Self::LimitPreemption => "limit-preemption",
            Self::Copies => "copies",
            Self::Admission => "admission",
        }
    }
}

/// The mechanisms in use; by default all of them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Mechanisms {
    off: BTreeSet<Mechanism>,
}

impl Mechanisms {
    /// All mechanisms except those in a comma-separated list of names; the error message names an
    /// unknown one and lists all known names.
    pub fn without(names: &str) -> Result<Self, String> {
        let mut off = BTreeSet::new();
        for name in names.split(',').filter(|name| !name.is_empty()) {
            let known = Mechanism::ALL.into_iter().find(|m| m.as_str() == name);
            off.insert(known.ok_or_else(|| unknown(name))?);
        }
        Ok(Self { off })
    }

    /// Switches a mechanism off.
    pub fn switch_off(&mut self, mechanism: Mechanism) {
        self.off.insert(mechanism);
    }

    /// Whether a mechanism is in use, that is, not switched off.
    pub fn has(&self, mechanism: Mechanism) -> bool {
        !self.off.contains(&mechanism)
    }

    /// Mechanisms that are switched off, in the order of [`Mechanism::ALL`].
    pub fn off(&self) -> impl Iterator<Item = Mechanism> + '_ {
        self.off.iter().copied()
    }
}

fn unknown(name: &str) -> String {
    let names: Vec<_> = Mechanism::ALL.iter().map(|m| m.as_str()).collect();
    format!(
        "no mechanism is named {name:?}; there are {}",
        names.join(", ")
    )
}
