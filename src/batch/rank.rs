//! Numbers that order minions differently for each one who chooses among them.

use super::model::MinionNumber;

/// A number drawn from a minion and from who chooses, by the mixing step of SplitMix64: equal pairs
/// give equal numbers, similar ones unlike numbers.
pub(super) fn rank(minion: MinionNumber, chooser: u64) -> u64 {
    let mut mixed = (u64::from(minion) << 32 ^ chooser).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    mixed ^ (mixed >> 31)
}
