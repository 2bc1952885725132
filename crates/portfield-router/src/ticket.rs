//! Handle to a ticket, held by the task that serves its request.

use std::{sync::Arc, time::Duration};

use async_channel::Receiver;
use portfield::ids::TicketId;

use crate::app::{App, GrantResult};

/// Handle to the ticket of a registered request. Dropping it before its end cancels the request.
#[derive(Debug)]
pub(crate) struct Ticket {
    app: Arc<App>,
    id: TicketId,
    result: Receiver<GrantResult>,
    ended: bool,
}

impl Ticket {
    pub(crate) fn new(app: Arc<App>, id: TicketId, result: Receiver<GrantResult>) -> Self {
        Self { app, id, result, ended: false }
    }

    /// Returns the ticket's id.
    pub(crate) fn id(&self) -> TicketId {
        self.id
    }

    /// Waits for a grant or a rejection.
    pub(crate) async fn wait(&self) -> Option<GrantResult> {
        self.result.recv().await.ok()
    }

    /// Records what the request has cost so far, in tokens.
    pub(crate) fn record_progress(&self, cost: u32) {
        self.app.update(|it| it.record_progress(self.id, cost));
    }

    /// Ends a completed request, with its cost in tokens and the mean time between its tokens.
    pub(crate) fn finish(&mut self, cost: u32, token_gap: Duration) {
        self.ended = true;
        self.app.update(|it| it.finish(self.id, cost, token_gap));
    }

    /// Ends a request that failed at its upstream, with its cost in tokens.
    pub(crate) fn fail(&mut self, cost: u32) {
        self.ended = true;
        self.app.update(|it| it.fail(self.id, cost));
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.app.remove_waiter(self.id);
        if !self.ended {
            self.app.update(|it| it.cancel(self.id));
        }
    }
}
