//! Batched writes to the table service.
//!
//! The table service handles a few hundred writes per second. Writes that arrive during a
//! transaction are batched into the next one.

use std::time::Duration;

use async_channel::{Receiver, Sender};
use portfield_net::{
    clock,
    http1::Error,
    platform::{Check, CommitOutcome, PlatformClient, Put, Row, Transaction},
    rt::Runtime,
};

/// Largest number of writes in one transaction.
const MAX_BATCH: usize = 64;
/// Largest number of attempts to determine the outcome of a transaction whose response was lost.
const MAX_ATTEMPTS: u32 = 3;
/// Pause before each of these attempts.
const READ_BACK_PAUSE: Duration = Duration::from_millis(50);

/// Outcome of a write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Written {
    /// The write was applied.
    Applied,
    /// The row has another version; the current row.
    Conflict(Row),
    /// The write certainly was not applied and will not be.
    Refused,
    /// The write may have been applied, or may still be.
    Unclear,
}

/// A conditional write of a row, and the channel for its outcome.
#[derive(Debug, Clone)]
struct PendingWrite {
    check: Check,
    put: Put,
    reply: Sender<Written>,
    attempts: u32,
}

/// Handle to the task that writes to the table service.
#[derive(Debug, Clone)]
pub(crate) struct TableWriter {
    sender: Sender<PendingWrite>,
}

impl TableWriter {
    /// Starts the task.
    pub(crate) fn start(rt: &Runtime, platform: PlatformClient) -> Self {
        let (sender, receiver) = async_channel::unbounded();
        rt.spawn(run(platform, receiver));
        Self { sender }
    }

    /// Writes a row if its version is still `version`.
    pub(crate) async fn write(&self, key: &str, version: u64, value: String) -> Written {
        let (reply, written) = async_channel::bounded(1);
        let check = Check { key: key.to_owned(), version };
        let put = Put { key: key.to_owned(), value };
        let _ = self.sender.send(PendingWrite { check, put, reply, attempts: 0 }).await;
        written.recv().await.unwrap_or(Written::Unclear)
    }
}

async fn run(platform: PlatformClient, receiver: Receiver<PendingWrite>) {
    let mut pending: Vec<PendingWrite> = Vec::new();
    loop {
        if pending.is_empty() {
            let Ok(it) = receiver.recv().await else { return };
            pending.push(it);
        }
        while pending.len() < MAX_BATCH
            && let Ok(it) = receiver.try_recv()
        {
            pending.push(it);
        }
        let (batch, deferred) = split_conflicting(std::mem::take(&mut pending));
        pending = deferred;
        pending.extend(commit(&platform, batch).await);
    }
}

/// Splits writes into a batch with at most one write per row, and the rest.
fn split_conflicting(all: Vec<PendingWrite>) -> (Vec<PendingWrite>, Vec<PendingWrite>) {
    let mut batch: Vec<PendingWrite> = Vec::new();
    let mut deferred = Vec::new();
    for it in all {
        let is_duplicate = batch.iter().any(|old| old.check.key == it.check.key);
        if is_duplicate { deferred.push(it) } else { batch.push(it) }
    }
    (batch, deferred)
}

/// Commits a batch, reports the writes whose outcome is known and returns the others.
async fn commit(platform: &PlatformClient, batch: Vec<PendingWrite>) -> Vec<PendingWrite> {
    let transaction = Transaction {
        checks: batch.iter().map(|it| it.check.clone()).collect(),
        puts: batch.iter().map(|it| it.put.clone()).collect(),
    };
    match platform.commit(&transaction).await {
        Ok(CommitOutcome::Applied) => reply_all(batch, &Written::Applied),
        Ok(CommitOutcome::Conflict(rows)) => resolve_conflict(batch, &rows),
        Err(Error::OutcomeUnknown(_)) => read_back(platform, batch).await,
        // A write whose outcome was unclear before may still be applied.
        Err(_) => {
            for it in batch {
                let is_first = it.attempts == 0;
                it.reply_with(if is_first { Written::Refused } else { Written::Unclear });
            }
            Vec::new()
        }
    }
}

fn reply_all(batch: Vec<PendingWrite>, written: &Written) -> Vec<PendingWrite> {
    batch.into_iter().for_each(|it| it.reply_with(written.clone()));
    Vec::new()
}

/// Reports the writes whose rows conflicted and returns the others; nothing was applied.
fn resolve_conflict(batch: Vec<PendingWrite>, rows: &[Row]) -> Vec<PendingWrite> {
    let mut rest = Vec::new();
    for it in batch {
        match rows.iter().find(|row| row.key == it.check.key) {
            Some(row) if row.value == it.put.value => it.reply_with(Written::Applied),
            Some(row) => it.reply_with(Written::Conflict(row.clone())),
            None => rest.push(it),
        }
    }
    rest
}

/// Determines the outcome of a batch from its rows, and returns the writes to send again.
///
/// Sending them again is safe because they are bound to a version.
async fn read_back(platform: &PlatformClient, batch: Vec<PendingWrite>) -> Vec<PendingWrite> {
    clock::sleep(READ_BACK_PAUSE).await;
    let keys: Vec<_> = batch.iter().map(|it| it.check.key.clone()).collect();
    let rows = platform.read_rows(&keys).await.unwrap_or_default();
    let mut rest = Vec::new();
    for mut it in batch {
        it.attempts += 1;
        match rows.iter().find(|row| row.key == it.check.key) {
            Some(row) if row.value == it.put.value => it.reply_with(Written::Applied),
            Some(row) if row.version != it.check.version => {
                it.reply_with(Written::Conflict(row.clone()));
            }
            _ if MAX_ATTEMPTS <= it.attempts => it.reply_with(Written::Unclear),
            _ => rest.push(it),
        }
    }
    rest
}

impl PendingWrite {
    fn reply_with(self, written: Written) {
        let _ = self.reply.try_send(written);
    }
}
