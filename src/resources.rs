//! Amounts of processor, memory and accelerators, and the arithmetic of fitting them.

use serde::{Deserialize, Serialize};

/// Whole units of what a task needs or a worker holds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Resources {
    /// Thousandths of a processor core.
    pub millicores: u32,
    /// Memory in megabytes (10^6 bytes).
    pub memory_mb: u32,
    /// Whole accelerators, all of one type.
    pub accelerators: u32,
}

impl Resources {
    /// Nothing of anything.
    pub const ZERO: Self = Self {
        millicores: 0,
        memory_mb: 0,
        accelerators: 0,
    };

    /// Makes an amount from whole cores, megabytes and accelerators.
    pub const fn new(cores: u32, memory_mb: u32, accelerators: u32) -> Self {
        Self {
            millicores: cores * 1000,
            memory_mb,
            accelerators,
        }
    }

    /// Says whether this amount can be taken out of `free` without overfilling it.
    pub const fn fits_in(&self, free: &Self) -> bool {
        self.millicores <= free.millicores
            && self.memory_mb <= free.memory_mb
            && self.accelerators <= free.accelerators
    }

    /// Says how many times this amount fits into a room; without end when it is nothing.
    pub fn times_in(&self, room: &Self) -> u32 {
        let part = |need: u32, room: u32| room.checked_div(need).unwrap_or(u32::MAX);
        part(self.millicores, room.millicores)
            .min(part(self.memory_mb, room.memory_mb))
            .min(part(self.accelerators, room.accelerators))
    }

    /// The part that this amount takes of each unit of a capacity: processors, memory, accelerators.
    pub fn shares(&self, capacity: &Self) -> [f64; 3] {
        let share = |some: u32, all: u32| f64::from(some) / f64::from(all.max(1));
        [
            share(self.millicores, capacity.millicores),
            share(self.memory_mb, capacity.memory_mb),
            share(self.accelerators, capacity.accelerators),
        ]
    }

    /// The largest part that this amount takes of any unit of a capacity.
    pub fn dominant_share(&self, capacity: &Self) -> f64 {
        self.shares(capacity).into_iter().fold(0.0, f64::max)
    }

    /// Adds each unit, up to the largest amount there is.
    pub const fn saturating_add(&self, other: &Self) -> Self {
        Self {
            millicores: self.millicores.saturating_add(other.millicores),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Subtracts each unit, down to zero.
    pub const fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            millicores: self.millicores.saturating_sub(other.millicores),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// A part of each unit, rounded down.
    pub fn part(&self, part: f64) -> Self {
        let of = |unit: u32| (f64::from(unit) * part) as u32;
        Self {
            millicores: of(self.millicores),
            memory_mb: of(self.memory_mb),
            accelerators: of(self.accelerators),
        }
    }

    /// Adds each unit, or nothing if one would overflow.
    pub fn checked_add(&self, other: &Self) -> Option<Self> {
        Some(Self {
            millicores: self.millicores.checked_add(other.millicores)?,
            memory_mb: self.memory_mb.checked_add(other.memory_mb)?,
            accelerators: self.accelerators.checked_add(other.accelerators)?,
        })
    }

    /// Subtracts each unit, or nothing if one would go below zero.
    pub fn checked_sub(&self, other: &Self) -> Option<Self> {
        Some(Self {
            millicores: self.millicores.checked_sub(other.millicores)?,
            memory_mb: self.memory_mb.checked_sub(other.memory_mb)?,
            accelerators: self.accelerators.checked_sub(other.accelerators)?,
        })
    }

    /// Multiplies each unit by a number of tasks, up to the largest amount there is.
    pub const fn saturating_mul(&self, n: u32) -> Self {
        Self {
            millicores: self.millicores.saturating_mul(n),
            memory_mb: self.memory_mb.saturating_mul(n),
            accelerators: self.accelerators.saturating_mul(n),
        }
    }

    /// Multiplies each unit by a number of tasks, or nothing on overflow.
    pub fn checked_mul(&self, n: u32) -> Option<Self> {
        Some(Self {
            millicores: self.millicores.checked_mul(n)?,
            memory_mb: self.memory_mb.checked_mul(n)?,
            accelerators: self.accelerators.checked_mul(n)?,
        })
    }
}
