//! Mechanisms of decision that an operator can switch off by name.

use std::collections::BTreeSet;

/// One mechanism.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mechanism {
    /// Room kept for tasks that cannot start yet.
    Claims,
    /// Work that ends in time in room that is kept for others.
    Backfill,
    /// Less urgent runs stopped for more urgent tasks.
    Preemption,
    /// Late work behind work that can still be in time.
    Lateness,
    /// Minions told apart by the run times seen there.
    LearntSpeeds,
    /// Run times seen in each queue in place of rough declared ones.
    LearntTimes,
    /// Objectives that allow for waves, failed runs and questions to the policy service.
    Allowances,
    /// The rest of a run's time reckoned from the progress that its minion lists.
    Progress,
    /// The minion on which least of the scarce resources is left over.
    TightFit,
    /// Questions to the policy service about steps whose turn is to come.
    AskAhead,
    /// Jobs beyond the weight of their workspace behind all others.
    SurplusLast,
    /// At a workspace's limit, less urgent runs of its own stopped for more urgent tasks.
    LimitPreemption,
}

impl Mechanism {
    /// All of them, in the order of the operators' page.
    pub const ALL: [Self; 12] = [
        Self::Claims,
        Self::Backfill,
        Self::Preemption,
        Self::Lateness,
        Self::LearntSpeeds,
        Self::LearntTimes,
        Self::Allowances,
        Self::Progress,
        Self::TightFit,
        Self::AskAhead,
        Self::SurplusLast,
        Self::LimitPreemption,
    ];

    /// Name on the command line.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Claims => "claims",
            Self::Backfill => "backfill",
            Self::Preemption => "preemption",
            Self::Lateness => "lateness",
            Self::LearntSpeeds => "learnt-speeds",
            Self::LearntTimes => "learnt-times",
            Self::Allowances => "allowances",
            Self::Progress => "progress",
            Self::TightFit => "tight-fit",
            Self::AskAhead => "ask-ahead",
            Self::SurplusLast => "surplus-last",
            Self::LimitPreemption => "limit-preemption",
        }
    }
}

/// The mechanisms that are in use.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Mechanisms {
    off: BTreeSet<Mechanism>,
}

impl Mechanisms {
    /// All but those named in a list with commas; the error is one sentence.
    pub fn without(names: &str) -> Result<Self, String> {
        let mut off = BTreeSet::new();
        for name in names.split(',').filter(|name| !name.is_empty()) {
            let known = Mechanism::ALL.into_iter().find(|m| m.as_str() == name);
            off.insert(known.ok_or_else(|| unknown(name))?);
        }
        Ok(Self { off })
    }

    /// Whether a mechanism is in use.
    pub fn has(&self, mechanism: Mechanism) -> bool {
        !self.off.contains(&mechanism)
    }

    /// Those that are switched off.
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
