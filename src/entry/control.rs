//! The entry host's state towards control: the lease and the feed, on a thread of its own.
//!
//! A burst of traffic on the other threads must not delay a renewal, or the entry host would
//! lose its minions just when it is needed most.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::runtime::Handle;
use tokio::sync::watch;
use xtra::prelude::*;

use crate::entry::core::Core;
use crate::entry::link::ControlLink;
use crate::error::Result;
use crate::ids::Timestamp;
use crate::routing::{Event, Lease};
use crate::wire::{Answer, Call, EntryReport, Feed};

/// Time between renewals before the length of the lease is known.
const FIRST_PERIOD: Duration = Duration::from_millis(100);
/// Renewals tried in the time of one lease.
const RENEWALS_PER_LEASE: u32 = 3;
/// Time for one renewal.
const RENEW_TIMEOUT: Duration = Duration::from_secs(1);
/// Most renewals under way: one lost on a silent connection must not keep the next one back.
const MAX_UNDER_WAY: u32 = 3;

/// What the rest of the daemon reads of this state.
#[derive(Default)]
pub(super) struct Standing {
    /// Whether control has sent a feed.
    pub(super) fed: AtomicBool,
    /// Whether the entry host stops as planned.
    pub(super) leaving: AtomicBool,
}

/// Actor that holds the lease.
#[derive(xtra::Actor)]
pub(super) struct Control<L: ControlLink> {
    pub(super) link: Arc<L>,
    pub(super) core: Arc<Core>,
    pub(super) traffic: Handle,
    pub(super) standing: Arc<Standing>,
    pub(super) lease: Lease,
    pub(super) under_way: u32,
    pub(super) period: watch::Sender<Duration>,
}

/// Control sent a new state.
struct FeedChanged(Arc<Feed>);

/// A renewal is due.
struct Renew;

/// A renewal was answered.
struct Renewed {
    sent: Timestamp,
    answer: Result<Answer>,
}

impl<L: ControlLink> Control<L> {
    /// Starts the actor and what drives it on the current runtime.
    pub(super) fn start(link: Arc<L>, core: Arc<Core>, traffic: Handle, standing: Arc<Standing>) {
        let (period, periods) = watch::channel(FIRST_PERIOD);
        let feed = link.feed();
        let released = core.clone();
        let actor = Self {
            link,
            core,
            traffic,
            standing,
            lease: Lease::default(),
            under_way: 0,
            period,
        };
        let address = xtra::spawn_tokio(actor, Mailbox::unbounded());
        tokio::spawn(follow_feed(feed, address.clone()));
        tokio::spawn(renew_in_time(periods, released, address));
    }

    fn report(&self) -> EntryReport {
        let (in_force, released) = self
            .core
            .read(|router, _| (router.revision(), router.released()));
        EntryReport {
            in_force,
            released,
            leaving: self.standing.leaving.load(Ordering::Relaxed),
        }
    }
}

impl<L: ControlLink> Handler<FeedChanged> for Control<L> {
    type Return = ();

    async fn handle(&mut self, FeedChanged(feed): FeedChanged, _cx: &mut Context<Self>) {
        self.core
            .peers
            .set(&self.core, &self.traffic, &feed.entries);
        self.core.handle(Event::Feed(feed));
        self.core.forget_unowned();
        self.standing.fed.store(true, Ordering::Relaxed);
    }
}

impl<L: ControlLink> Handler<Renew> for Control<L> {
    type Return = ();

    async fn handle(&mut self, _: Renew, cx: &mut Context<Self>) {
        if self.under_way >= MAX_UNDER_WAY {
            return;
        }
        self.under_way += 1;
        let call = Call::Renew(self.report());
        let (link, address) = (self.link.clone(), cx.mailbox().address());
        // The lease counts from here, before anything is sent.
        let sent = self.core.now();
        tokio::spawn(async move {
            let answer = link.call(call, RENEW_TIMEOUT).await;
            if let Some(address) = address.try_upgrade() {
                let _ = address.send(Renewed { sent, answer }).await;
            }
        });
    }
}

impl<L: ControlLink> Handler<Renewed> for Control<L> {
    type Return = ();

    async fn handle(&mut self, Renewed { sent, answer }: Renewed, _cx: &mut Context<Self>) {
        self.under_way = self.under_way.saturating_sub(1);
        let Ok(Answer::Lease(length)) = answer else {
            metrics::counter!("yuccahold_entry_renewals_failed_total").increment(1);
            return;
        };
        self.lease.renewed(sent, length);
        self.core.handle(Event::Leased(self.lease.until()));
        self.period.send_replace(length / RENEWALS_PER_LEASE);
    }
}

async fn follow_feed<L: ControlLink>(
    mut feed: watch::Receiver<Arc<Feed>>,
    address: Address<Control<L>>,
) {
    while feed.changed().await.is_ok() {
        let latest = feed.borrow_and_update().clone();
        if address.send(FeedChanged(latest)).await.is_err() {
            return;
        }
    }
}

async fn renew_in_time<L: ControlLink>(
    periods: watch::Receiver<Duration>,
    core: Arc<Core>,
    address: Address<Control<L>>,
) {
    while address.send(Renew).await.is_ok() {
        let period = (*periods.borrow()).max(Duration::from_millis(10));
        let _ = tokio::time::timeout(period, core.released.notified()).await;
    }
}
