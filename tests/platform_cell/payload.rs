//! The job payload that simulated callers send and simulated minions execute.

use super::recorder::Resources;

/// Behaviour of the tasks of one job.
#[derive(Clone)]
pub struct Payload {
    /// Resources that each task uses.
    pub need: Resources,
    pub duration_ms: u64,
    /// Percentage of runs that fail.
    pub fail_percent: u64,
    /// Whether each of the tasks crashes the minions that start it.
    pub crashes: bool,
    /// Whether the steps allow copies of their tasks.
    pub copies: bool,
    /// Members of the gang that the tasks of each step form; zero for none.
    pub members: u32,
}

/// Number that is always the same for the same text and run.
pub fn hash(text: &str, run: u32) -> u64 {
    let hash = text.bytes().fold(u64::from(run) + 7, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x100_0000_01B3)
    });
    hash >> 33
}

impl Payload {
    pub fn text(&self) -> String {
        let Resources {
            millicores,
            memory_mb,
        } = self.need;
        let (crashes, copies) = (u8::from(self.crashes), u8::from(self.copies));
        format!(
            "{millicores} {memory_mb} {} {} {crashes} {copies} {}",
            self.duration_ms, self.fail_percent, self.members
        )
    }

    pub fn parse(text: &str) -> Self {
        let numbers: Vec<u64> = text.split(' ').filter_map(|n| n.parse().ok()).collect();
        Self {
            need: Resources {
                millicores: numbers[0] as u32,
                memory_mb: numbers[1] as u32,
            },
            duration_ms: numbers[2],
            fail_percent: numbers[3],
            crashes: numbers[4] != 0,
            copies: numbers[5] != 0,
            members: numbers[6] as u32,
        }
    }

    /// How a run ends: always the same for the same task and run.
    pub fn outcome(&self, task: &str, run: u32) -> &'static str {
        if hash(task, run) % 100 < self.fail_percent {
            "failed"
        } else {
            "done"
        }
    }
}
