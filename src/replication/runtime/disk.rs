//! The disk thread: writes and syncs whole batches of saves.

use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use futures::executor::block_on;
use xtra::Address;

use super::control::Control;
use super::messages::DiskNews;
use crate::replication::core::Save;
use crate::replication::machine::StateMachine;
use crate::storage::{Files, Store, WriteError};

/// Time between two tries on a full disk.
const FULL_RETRY: Duration = Duration::from_millis(500);

/// Sending end towards the disk thread; holds one batch at most.
pub(super) type DiskQueue = mpsc::SyncSender<Vec<Save>>;

/// Runs until the queue's sender is dropped.
pub(super) fn run<M: StateMachine>(
    mut store: Store<impl Files>,
    queue: mpsc::Receiver<Vec<Save>>,
    control: Address<Control<M>>,
) {
    let tell = |news| block_on(control.send(news).detach()).is_ok();
    while let Ok(saves) = queue.recv() {
        let last = saves.last().map_or(0, |s| s.seq);
        let mut told_full = false;
        let news = loop {
            match store.write(&saves) {
                Ok(()) => break DiskNews::Synced(last),
                Err(WriteError::Failed(e)) => break DiskNews::Failed(e),
                Err(WriteError::Full) => {
                    if !told_full && !tell(DiskNews::Full) {
                        return;
                    }
                    told_full = true;
                    thread::sleep(FULL_RETRY);
                    if !control.is_connected() {
                        return;
                    }
                }
            }
        };
        let failed = matches!(news, DiskNews::Failed(_));
        if !tell(news) || failed {
            return;
        }
    }
}
