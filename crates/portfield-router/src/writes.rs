//! Writes to the table service, several in one transaction.
//!
//! The table service takes a few hundred writes a second. Writes that come while one
//! transaction is under way go together in the next.

use std::time::Duration;

use async_channel::{Receiver, Sender};
use portfield_net::{
    clock,
    http1::Error,
    platform::{Check, CommitOutcome, PlatformClient, Put, Row, Transaction},
    rt::Runtime,
};

/// Most writes in one transaction.
const MAX_BATCH: usize = 64;
/// Attempts to learn what became of a transaction whose answer was lost.
const MAX_ATTEMPTS: u32 = 3;
/// Pause between them.
const PAUSE: Duration = Duration::from_millis(50);

/// What became of a write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Written {
    /// It was applied.
    Applied,
    /// The row has another version; as it is.
    Conflict(Row),
    /// It certainly was not applied and will not be.
    Refused,
    /// It may have been applied, or may be yet.
    Unclear,
}

/// A row to write if it still has a version.
#[derive(Debug, Clone)]
struct Write {
    check: Check,
    put: Put,
    reply: Sender<Written>,
    attempts: u32,
}

/// The way to the table service.
#[derive(Debug, Clone)]
pub(crate) struct Writes {
    sender: Sender<Write>,
}

impl Writes {
    /// Starts the task that writes.
    pub(crate) fn start(rt: &Runtime, platform: PlatformClient) -> Self {
        let (sender, receiver) = async_channel::unbounded();
        rt.spawn(run(platform, receiver));
        Self { sender }
    }

    /// Writes a row if it has the version given.
    pub(crate) async fn write(&self, key: &str, version: u64, value: String) -> Written {
        let (reply, written) = async_channel::bounded(1);
        let check = Check { key: key.to_owned(), version };
        let put = Put { key: key.to_owned(), value };
        let _ = self.sender.send(Write { check, put, reply, attempts: 0 }).await;
        written.recv().await.unwrap_or(Written::Unclear)
    }
}

async fn run(platform: PlatformClient, receiver: Receiver<Write>) {
    let mut pending: Vec<Write> = Vec::new();
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
        let (batch, later) = split(std::mem::take(&mut pending));
        pending = later;
        pending.extend(commit(&platform, batch).await);
    }
}

/// Puts off writes to a row that the batch writes already.
fn split(all: Vec<Write>) -> (Vec<Write>, Vec<Write>) {
    let mut batch: Vec<Write> = Vec::new();
    let mut later = Vec::new();
    for it in all {
        let known = batch.iter().any(|old| old.check.key == it.check.key);
        if known { later.push(it) } else { batch.push(it) }
    }
    (batch, later)
}

/// Commits a batch, answers what is decided and returns the rest.
async fn commit(platform: &PlatformClient, batch: Vec<Write>) -> Vec<Write> {
    let transaction = Transaction {
        checks: batch.iter().map(|it| it.check.clone()).collect(),
        puts: batch.iter().map(|it| it.put.clone()).collect(),
    };
    match platform.commit(&transaction).await {
        Ok(CommitOutcome::Applied) => answer_all(batch, &Written::Applied),
        Ok(CommitOutcome::Conflict(rows)) => settle(batch, &rows),
        Err(Error::OutcomeUnknown(_)) => read_back(platform, batch).await,
        // One that was unclear before may still be applied.
        Err(_) => {
            for it in batch {
                let is_first = it.attempts == 0;
                it.answer(if is_first { Written::Refused } else { Written::Unclear });
            }
            Vec::new()
        }
    }
}

fn answer_all(batch: Vec<Write>, written: &Written) -> Vec<Write> {
    batch.into_iter().for_each(|it| it.answer(written.clone()));
    Vec::new()
}

/// Answers the writes whose rows differ, and returns the others: nothing was applied.
fn settle(batch: Vec<Write>, rows: &[Row]) -> Vec<Write> {
    let mut rest = Vec::new();
    for it in batch {
        match rows.iter().find(|row| row.key == it.check.key) {
            Some(row) if row.value == it.put.value => it.answer(Written::Applied),
            Some(row) => it.answer(Written::Conflict(row.clone())),
            None => rest.push(it),
        }
    }
    rest
}

/// Learns from the rows what became of a batch; returns the writes to send again, which is
/// safe: they are bound to a version.
async fn read_back(platform: &PlatformClient, batch: Vec<Write>) -> Vec<Write> {
    clock::sleep(PAUSE).await;
    let keys: Vec<_> = batch.iter().map(|it| it.check.key.clone()).collect();
    let rows = platform.read_rows(&keys).await.unwrap_or_default();
    let mut rest = Vec::new();
    for mut it in batch {
        it.attempts += 1;
        match rows.iter().find(|row| row.key == it.check.key) {
            Some(row) if row.value == it.put.value => it.answer(Written::Applied),
            Some(row) if row.version != it.check.version => {
                it.answer(Written::Conflict(row.clone()));
            }
            _ if MAX_ATTEMPTS <= it.attempts => it.answer(Written::Unclear),
            _ => rest.push(it),
        }
    }
    rest
}

impl Write {
    fn answer(self, written: Written) {
        let _ = self.reply.try_send(written);
    }
}
