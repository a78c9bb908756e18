//! What a caller writes for its tasks, and how their minions understand it.

use super::book::Need;

/// What a caller writes for its tasks: what each takes, for how long, and how many runs in a
/// hundred fail.
pub struct Payload {
    pub need: Need,
    pub takes: u64,
    pub fails: u64,
    /// Whether each of the tasks crashes the minions that start it.
    pub crashes: bool,
}

impl Payload {
    pub fn text(&self) -> String {
        let Need {
            millicores,
            memory_mb,
        } = self.need;
        let crashes = u8::from(self.crashes);
        format!(
            "{millicores} {memory_mb} {} {} {crashes}",
            self.takes, self.fails
        )
    }

    pub fn parse(text: &str) -> Self {
        let numbers: Vec<u64> = text.split(' ').filter_map(|n| n.parse().ok()).collect();
        Self {
            need: Need {
                millicores: numbers[0] as u32,
                memory_mb: numbers[1] as u32,
            },
            takes: numbers[2],
            fails: numbers[3],
            crashes: numbers[4] != 0,
        }
    }

    pub fn ends(&self, task: &str, run: u32) -> &'static str {
        let drawn = task.bytes().fold(u64::from(run) + 7, |h, b| {
            (h ^ u64::from(b)).wrapping_mul(0x100_0000_01B3)
        });
        if (drawn >> 33) % 100 < self.fails {
            "failed"
        } else {
            "done"
        }
    }
}
