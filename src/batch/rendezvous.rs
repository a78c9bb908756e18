//! Rendezvous hashing: ranks minions in a different order for each chooser.

use super::model::MinionNumber;

/// Hash of a minion and a chooser, by the mixing step of SplitMix64: equal pairs get equal weights,
/// and similar pairs get unrelated ones.
pub(super) fn rendezvous_weight(minion: MinionNumber, chooser: u64) -> u64 {
    let mut mixed = (u64::from(minion) << 32 ^ chooser).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    mixed ^ (mixed >> 31)
}
