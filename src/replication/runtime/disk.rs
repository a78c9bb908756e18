//! The disk thread: writes and syncs batches of saves.

use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use futures::executor::block_on;
use xtra::Address;

use super::control::Control;
use super::messages::DiskEvent;
use crate::replication::core::Save;
use crate::replication::machine::StateMachine;
use crate::storage::{Files, Store, WriteError};

/// Time between two attempts on a full disk.
const FULL_RETRY: Duration = Duration::from_millis(500);

/// Sender to the disk thread; the queue holds one batch.
pub(super) type DiskQueue = mpsc::SyncSender<Vec<Save>>;

/// Runs until the queue's sender is dropped, the control thread ends or the disk fails.
pub(super) fn run<M: StateMachine>(
    mut store: Store<impl Files>,
    queue: mpsc::Receiver<Vec<Save>>,
    control: Address<Control<M>>,
) {
    let notify = |event| block_on(control.send(event).detach()).is_ok();
    while let Ok(saves) = queue.recv() {
        let last = saves.last().map_or(0, |s| s.seq);
        let mut reported_full = false;
        let event = loop {
            match store.write(&saves) {
                Ok(()) => break DiskEvent::Synced(last),
                Err(WriteError::Failed(e)) => break DiskEvent::Failed(e),
                Err(WriteError::Full) => {
                    if !reported_full && !notify(DiskEvent::Full) {
                        return;
                    }
                    reported_full = true;
                    thread::sleep(FULL_RETRY);
                    if !control.is_connected() {
                        return;
                    }
                }
            }
        };
        let failed = matches!(event, DiskEvent::Failed(_));
        if !notify(event) || failed {
            return;
        }
    }
}
