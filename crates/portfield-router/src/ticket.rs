//! A ticket in the hands of the task that serves its request.

use std::{sync::Arc, time::Duration};

use async_channel::Receiver;
use portfield::ids::TicketId;

use crate::shell::{Shell, Verdict};

/// A registered request. Dropping it withdraws the request.
#[derive(Debug)]
pub(crate) struct Ticket {
    shell: Arc<Shell>,
    id: TicketId,
    verdict: Receiver<Verdict>,
    ended: bool,
}

impl Ticket {
    pub(crate) fn new(shell: Arc<Shell>, id: TicketId, verdict: Receiver<Verdict>) -> Self {
        Self { shell, id, verdict, ended: false }
    }

    /// Returns its number.
    pub(crate) fn id(&self) -> TicketId {
        self.id
    }

    /// Waits for a grant or a refusal.
    pub(crate) async fn wait(&self) -> Option<Verdict> {
        self.verdict.recv().await.ok()
    }

    /// Counts what the request has cost so far.
    pub(crate) fn progress(&self, cost: u32) {
        self.shell.with(|it| it.record_progress(self.id, cost));
    }

    /// Ends a request that was answered.
    pub(crate) fn finish(&mut self, cost: u32, pace: Duration) {
        self.ended = true;
        self.shell.with(|it| it.finish(self.id, cost, pace));
    }

    /// Ends a request that its upstream failed.
    pub(crate) fn fail(&mut self, cost: u32) {
        self.ended = true;
        self.shell.with(|it| it.fail(self.id, cost));
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.shell.forget(self.id);
        if !self.ended {
            self.shell.with(|it| it.cancel(self.id));
        }
    }
}
