//! Tickets that wait, per workspace, interactive before batch with ageing.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::ids::{HostId, TicketId, WorkspaceId};

/// After this wait a batch ticket goes before interactive ones.
const BATCH_AGEING: Duration = Duration::from_secs(10);

/// A ticket that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueuedTicket {
    /// The router that holds the request.
    pub host: HostId,
    /// The router's number for it.
    pub id: TicketId,
    /// Whose request it is.
    pub workspace: WorkspaceId,
    /// Cost hint in tokens, zero for none.
    pub hint: u32,
    /// It may wait behind the workspace's interactive requests.
    pub is_batch: bool,
    /// Hash of the prompt's prefix, zero for none.
    pub prefix: u32,
    /// When it began to wait.
    pub waiting_since: Duration,
}

#[derive(Debug, Clone, Default)]
struct WorkspaceQueue {
    interactive: VecDeque<QueuedTicket>,
    batch: VecDeque<QueuedTicket>,
    len: u32,
}

/// The queues of one shard.
#[derive(Debug, Clone, Default)]
pub struct TicketQueues {
    queues: HashMap<WorkspaceId, WorkspaceQueue>,
    /// Tickets that still wait; a queue may hold cancelled ones until they come up.
    waiting: HashMap<(HostId, TicketId), WorkspaceId>,
}

impl TicketQueues {
    /// Returns how many tickets wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no ticket waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns how many tickets of a workspace wait.
    pub fn n_waiting(&self, id: WorkspaceId) -> u32 {
        self.queues.get(&id).map_or(0, |it| it.len)
    }

    /// Adds a ticket; one that waits already stays where it is.
    pub fn push(&mut self, ticket: QueuedTicket) {
        let key = (ticket.host, ticket.id);
        if self.waiting.insert(key, ticket.workspace).is_some() {
            return;
        }
        let queue = self.queues.entry(ticket.workspace).or_default();
        queue.len += 1;
        let list = if ticket.is_batch { &mut queue.batch } else { &mut queue.interactive };
        // A ticket handed over by another owner has waited longer than its neighbours.
        let idx = list.partition_point(|it| it.waiting_since <= ticket.waiting_since);
        list.insert(idx, ticket);
    }

    /// Takes the workspace's next ticket.
    pub fn pop(&mut self, now: Duration, id: WorkspaceId) -> Option<QueuedTicket> {
        loop {
            let ticket = self.queues.get_mut(&id)?.pop(now)?;
            if self.waiting.remove(&(ticket.host, ticket.id)).is_some() {
                self.decrement(id);
                return Some(ticket);
            }
        }
    }

    /// Removes a ticket; returns its workspace if it waited.
    pub fn cancel(&mut self, host: HostId, id: TicketId) -> Option<WorkspaceId> {
        let workspace = self.waiting.remove(&(host, id))?;
        if let Some(queue) = self.queues.get_mut(&workspace) {
            queue.interactive.retain(|it| (it.host, it.id) != (host, id));
            queue.batch.retain(|it| (it.host, it.id) != (host, id));
        }
        self.decrement(workspace);
        Some(workspace)
    }

    /// Removes every ticket of a router; returns the workspaces concerned.
    pub fn cancel_host(&mut self, host: HostId) -> Vec<WorkspaceId> {
        let gone: Vec<_> = self.waiting.keys().filter(|it| it.0 == host).map(|it| it.1).collect();
        let mut res: Vec<_> = gone.into_iter().filter_map(|id| self.cancel(host, id)).collect();
        res.sort_unstable();
        res.dedup();
        res
    }

    /// Returns the routers that have tickets here.
    pub fn hosts(&self) -> impl Iterator<Item = HostId> + '_ {
        self.waiting.keys().map(|it| it.0)
    }

    /// Returns the workspaces that have tickets here, with their number.
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
