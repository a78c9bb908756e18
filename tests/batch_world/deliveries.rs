//! Answers and orders that are on the way.

use std::time::Duration;

use yuccahold::batch::dispatch::{MinionAnswer, MinionOrder, OrderKind, Target};
use yuccahold::batch::model::MinionNumber;

/// An answer on its way to the leader.
pub struct Delivery {
    pub at: Duration,
    pub minion: MinionNumber,
    pub kind: OrderKind,
    pub sent: Duration,
    pub answer: MinionAnswer,
}

/// A start that is executed late, if the incarnation at its address still has the same name.
pub struct LateOrder {
    pub at: Duration,
    pub target: Target,
    pub order: MinionOrder,
}
