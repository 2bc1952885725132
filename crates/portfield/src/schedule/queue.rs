//! Queues of waiting tickets, one per workspace: interactive before batch, with ageing.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::ids::{HostId, TicketId, WorkspaceId};

/// Wait after which a batch ticket takes precedence over interactive ones.
const BATCH_AGEING: Duration = Duration::from_secs(10);

/// A waiting ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueuedTicket {
    /// Host of the router that holds the request.
    pub host: HostId,
    /// Number of the ticket, assigned by the router.
    pub id: TicketId,
    /// Workspace of the request.
    pub workspace: WorkspaceId,
    /// Cost that the caller expects, in tokens; zero if unknown.
    pub hint: u32,
    /// Whether it is a batch request, served after the workspace's interactive ones.
    pub is_batch: bool,
    /// Hash of the prompt's prefix; zero if none.
    pub prefix: u32,
    /// When it began to wait, at this owner or an earlier one.
    pub waiting_since: Duration,
}

#[derive(Debug, Clone, Default)]
struct WorkspaceQueue {
    interactive: VecDeque<QueuedTicket>,
    batch: VecDeque<QueuedTicket>,
    /// Number of tickets in both.
    len: u32,
}

/// The ticket queues of one shard.
#[derive(Debug, Clone, Default)]
pub struct TicketQueues {
    queues: HashMap<WorkspaceId, WorkspaceQueue>,
    /// Workspace of each waiting ticket; a queued ticket that is missing here was cancelled.
    waiting: HashMap<(HostId, TicketId), WorkspaceId>,
}

impl TicketQueues {
    /// Returns the number of waiting tickets.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no ticket waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the number of waiting tickets of a workspace.
    pub fn n_waiting(&self, id: WorkspaceId) -> u32 {
        self.queues.get(&id).map_or(0, |it| it.len)
    }

    /// Adds a ticket; one that is already queued keeps its position.
    pub fn push(&mut self, ticket: QueuedTicket) {
        let key = (ticket.host, ticket.id);
        if self.waiting.insert(key, ticket.workspace).is_some() {
            return;
        }
        let queue = self.queues.entry(ticket.workspace).or_default();
        queue.len += 1;
        let list = if ticket.is_batch { &mut queue.batch } else { &mut queue.interactive };
        // A ticket that waited at an earlier owner may be older than those queued here.
        let idx = list.partition_point(|it| it.waiting_since <= ticket.waiting_since);
        list.insert(idx, ticket);
    }

    /// Removes and returns the next ticket of a workspace.
    pub fn pop(&mut self, now: Duration, id: WorkspaceId) -> Option<QueuedTicket> {
        loop {
            let ticket = self.queues.get_mut(&id)?.pop(now)?;
            if self.waiting.remove(&(ticket.host, ticket.id)).is_some() {
                self.decrement(id);
                return Some(ticket);
            }
        }
    }

    /// Removes a ticket; returns its workspace if it was queued.
    pub fn cancel(&mut self, host: HostId, id: TicketId) -> Option<WorkspaceId> {
        let workspace = self.waiting.remove(&(host, id))?;
        if let Some(queue) = self.queues.get_mut(&workspace) {
            queue.interactive.retain(|it| (it.host, it.id) != (host, id));
            queue.batch.retain(|it| (it.host, it.id) != (host, id));
        }
        self.decrement(workspace);
        Some(workspace)
    }

    /// Removes all tickets of a router; returns their workspaces.
    pub fn cancel_host(&mut self, host: HostId) -> Vec<WorkspaceId> {
        let tickets: Vec<_> =
            self.waiting.keys().filter(|it| it.0 == host).map(|it| it.1).collect();
        let mut res: Vec<_> = tickets.into_iter().filter_map(|id| self.cancel(host, id)).collect();
        res.sort_unstable();
        res.dedup();
        res
    }

    /// Returns the host of each ticket's router; a host with several tickets is repeated.
    pub fn hosts(&self) -> impl Iterator<Item = HostId> + '_ {
        self.waiting.keys().map(|it| it.0)
    }

    /// Returns the workspaces that have tickets, each with the number of them.
    pub fn backlog(&self) -> impl Iterator<Item = (WorkspaceId, u32)> + '_ {
        self.queues.iter().map(|(id, it)| (*id, it.len))
    }

    fn decrement(&mut self, id: WorkspaceId) {
        let Some(queue) = self.queues.get_mut(&id) else { return };
        queue.len -= 1;
        if queue.len == 0 {
            self.queues.remove(&id);
        }
    }
}

impl WorkspaceQueue {
    fn pop(&mut self, now: Duration) -> Option<QueuedTicket> {
        let aged = self.batch.front().is_some_and(|it| it.waiting_since + BATCH_AGEING <= now);
        if aged {
            return self.batch.pop_front();
        }
        self.interactive.pop_front().or_else(|| self.batch.pop_front())
    }
}
