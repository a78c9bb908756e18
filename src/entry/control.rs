//! Renewal of the lease and handling of the feed from the control plane, on a separate thread.
//!
//! A burst of requests on the other threads must not delay a renewal, or the entry host would
//! lose its minions under high load.

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

/// Interval between renewals until the first response with the length of the lease.
const INITIAL_RENEW_INTERVAL: Duration = Duration::from_millis(100);
/// Renewals sent per lease duration.
const RENEWALS_PER_LEASE: u32 = 3;
/// Timeout of one renewal.
const RENEW_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum renewals in flight: one that is lost on a dead connection must not block the next.
const MAX_RENEWALS_IN_FLIGHT: u32 = 3;

/// State shared with the rest of the daemon.
#[derive(Default)]
pub(super) struct ControlStatus {
    /// Whether a feed has been received.
    pub(super) has_feed: AtomicBool,
    /// Whether a planned shutdown has started; reported with each renewal.
    pub(super) leaving: AtomicBool,
}

/// Actor that renews the lease and applies feeds.
#[derive(xtra::Actor)]
pub(super) struct Control<L: ControlLink> {
    pub(super) link: Arc<L>,
    pub(super) core: Arc<Core>,
    /// Runtime of the request-handling threads, for connections to peers.
    pub(super) request_runtime: Handle,
    pub(super) control_status: Arc<ControlStatus>,
    /// The feed last applied.
    pub(super) feed: Arc<Feed>,
    pub(super) lease: Lease,
    pub(super) renewals_in_flight: u32,
    pub(super) period: watch::Sender<Duration>,
}

/// Message: the control plane sent a new feed.
struct FeedChanged;

/// Message: a renewal is due.
struct Renew;

/// Message: a renewal was answered or failed.
struct Renewed {
    sent: Timestamp,
    answer: Result<Answer>,
}

impl<L: ControlLink> Control<L> {
    /// Starts the actor and its feed and timer tasks on the current runtime.
    pub(super) fn start(
        link: Arc<L>,
        core: Arc<Core>,
        request_runtime: Handle,
        control_status: Arc<ControlStatus>,
    ) {
        let (period, periods) = watch::channel(INITIAL_RENEW_INTERVAL);
        let feed = link.feed();
        let released = core.clone();
        let actor = Self {
            link,
            core,
            request_runtime,
            control_status,
            feed: feed.borrow().clone(),
            lease: Lease::default(),
            renewals_in_flight: 0,
            period,
        };
        let address = xtra::spawn_tokio(actor, Mailbox::unbounded());
        tokio::spawn(follow_feed(feed, address.clone()));
        tokio::spawn(renew_periodically(periods, released, address));
    }

    /// Applies the latest feed from the control plane, unless it was applied before.
    fn apply_feed(&mut self) {
        let latest = self.link.feed().borrow().clone();
        if Arc::ptr_eq(&latest, &self.feed) {
            return;
        }
        self.feed = latest.clone();
        self.core
            .peers
            .set(&self.core, &self.request_runtime, &latest.entries);
        self.core.handle(Event::Feed(latest));
        self.core.close_unowned();
        self.control_status.has_feed.store(true, Ordering::Relaxed);
    }

    fn report(&self) -> EntryReport {
        let (in_force, released) = self
            .core
            .read(|router, _| (router.revision(), router.released()));
        EntryReport {
            in_force,
            released,
            leaving: self.control_status.leaving.load(Ordering::Relaxed),
        }
    }
}

impl<L: ControlLink> Handler<FeedChanged> for Control<L> {
    type Return = ();

    async fn handle(&mut self, _: FeedChanged, _cx: &mut Context<Self>) {
        self.apply_feed();
    }
}

impl<L: ControlLink> Handler<Renew> for Control<L> {
    type Return = ();

    async fn handle(&mut self, _: Renew, cx: &mut Context<Self>) {
        if self.renewals_in_flight >= MAX_RENEWALS_IN_FLIGHT {
            return;
        }
        self.renewals_in_flight += 1;
        let call = Call::Renew(self.report());
        let (link, address) = (self.link.clone(), cx.mailbox().address());
        // The lease counts from the time before sending, which is never later than the time from
        // which the control plane counts it.
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
        self.renewals_in_flight = self.renewals_in_flight.saturating_sub(1);
        let Ok(Answer::Lease(length)) = answer else {
            metrics::counter!("yuccahold_entry_renewals_failed_total").increment(1);
            return;
        };
        // The feed that preceded the grant may have taken minions away.
        self.apply_feed();
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
        feed.borrow_and_update();
        if address.send(FeedChanged).await.is_err() {
            return;
        }
    }
}

async fn renew_periodically<L: ControlLink>(
    periods: watch::Receiver<Duration>,
    core: Arc<Core>,
    address: Address<Control<L>>,
) {
    while address.send(Renew).await.is_ok() {
        let period = (*periods.borrow()).max(Duration::from_millis(10));
        let _ = tokio::time::timeout(period, core.released.notified()).await;
    }
}
