//! Amounts of CPU, memory and accelerators, and their arithmetic.

use serde::{Deserialize, Serialize};

/// Resources that a task needs, or that a worker or quota has.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Resources {
    /// CPU in thousandths of a core.
    pub millicores: u32,
    /// Memory in megabytes (10^6 bytes).
    pub memory_mb: u32,
    /// Number of accelerators, all of one type.
    pub accelerators: u32,
}

impl Resources {
    /// Zero of each resource.
    pub const ZERO: Self = Self {
        millicores: 0,
        memory_mb: 0,
        accelerators: 0,
    };

    /// Creates an amount from whole cores, megabytes and accelerators.
    pub const fn new(cores: u32, memory_mb: u32, accelerators: u32) -> Self {
        Self {
            millicores: cores * 1000,
            memory_mb,
            accelerators,
        }
    }

    /// Whether every resource is at most that of `free`.
    pub const fn fits_in(&self, free: &Self) -> bool {
        self.millicores <= free.millicores
            && self.memory_mb <= free.memory_mb
            && self.accelerators <= free.accelerators
    }

    /// How many times this amount fits into `free`; `u32::MAX` if it is zero.
    pub fn times_in(&self, free: &Self) -> u32 {
        let times = |need: u32, free: u32| free.checked_div(need).unwrap_or(u32::MAX);
        times(self.millicores, free.millicores)
            .min(times(self.memory_mb, free.memory_mb))
            .min(times(self.accelerators, free.accelerators))
    }

    /// This amount as fractions of a capacity, in the order CPU, memory, accelerators. A capacity of
    /// zero counts as one unit.
    pub fn shares(&self, capacity: &Self) -> [f64; 3] {
        let share = |used: u32, total: u32| f64::from(used) / f64::from(total.max(1));
        [
            share(self.millicores, capacity.millicores),
            share(self.memory_mb, capacity.memory_mb),
            share(self.accelerators, capacity.accelerators),
        ]
    }

    /// The largest of the [`shares`](Self::shares) of a capacity, as in dominant resource fairness.
    pub fn dominant_share(&self, capacity: &Self) -> f64 {
        self.shares(capacity).into_iter().fold(0.0, f64::max)
    }

    /// Adds each resource, saturating at `u32::MAX`.
    pub const fn saturating_add(&self, other: &Self) -> Self {
        Self {
            millicores: self.millicores.saturating_add(other.millicores),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Subtracts each resource, saturating at zero.
    pub const fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            millicores: self.millicores.saturating_sub(other.millicores),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Multiplies each resource by a fraction, rounding down.
    pub fn scaled_by(&self, fraction: f64) -> Self {
        let scaled = |amount: u32| (f64::from(amount) * fraction) as u32;
        Self {
            millicores: scaled(self.millicores),
            memory_mb: scaled(self.memory_mb),
            accelerators: scaled(self.accelerators),
        }
    }

    /// Adds each resource; `None` if one overflows.
    pub fn checked_add(&self, other: &Self) -> Option<Self> {
        Some(Self {
            millicores: self.millicores.checked_add(other.millicores)?,
            memory_mb: self.memory_mb.checked_add(other.memory_mb)?,
            accelerators: self.accelerators.checked_add(other.accelerators)?,
        })
    }

    /// Subtracts each resource; `None` if one would go below zero.
    pub fn checked_sub(&self, other: &Self) -> Option<Self> {
        Some(Self {
            millicores: self.millicores.checked_sub(other.millicores)?,
            memory_mb: self.memory_mb.checked_sub(other.memory_mb)?,
            accelerators: self.accelerators.checked_sub(other.accelerators)?,
        })
    }

    /// Multiplies each resource by a number of tasks, saturating at `u32::MAX`.
    pub const fn saturating_mul(&self, n: u32) -> Self {
        Self {
            millicores: self.millicores.saturating_mul(n),
            memory_mb: self.memory_mb.saturating_mul(n),
            accelerators: self.accelerators.saturating_mul(n),
        }
    }

    /// Multiplies each resource by a number of tasks; `None` if one overflows.
    pub fn checked_mul(&self, n: u32) -> Option<Self> {
        Some(Self {
            millicores: self.millicores.checked_mul(n)?,
            memory_mb: self.memory_mb.checked_mul(n)?,
            accelerators: self.accelerators.checked_mul(n)?,
        })
    }
}
