//! Admission control: a bounded queue per workspace, so that a workspace that sends too much is
//! the only one rejected.

use std::collections::HashMap;

use crate::{fleet::Workspace, ids::WorkspaceId};

/// Error: the workspace's queue at this router is full.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueFull;

#[derive(Debug, Clone, Copy, Default)]
struct Usage {
    requests: usize,
    bytes: usize,
}

/// Requests and body bytes that each workspace has waiting at one router.
///
/// # Examples
///
/// ```
/// use portfield::{fleet::Workspace, route::Admission};
///
/// let workspace = Workspace {
///     id: 1,
///     name: "trust".into(),
///     share: 1,
///     token_hash: String::new(),
///     queue: 1,
///     queue_bytes: 100,
/// };
/// let mut admission = Admission::default();
/// assert!(admission.admit(&workspace, 60).is_ok());
/// assert!(admission.admit(&workspace, 10).is_err());
/// admission.release(1, 60);
/// assert!(admission.admit(&workspace, 10).is_ok());
/// ```
#[derive(Debug, Clone, Default)]
pub struct Admission {
    usage: HashMap<WorkspaceId, Usage>,
}

impl Admission {
    /// Counts a request with a body of `bytes` as waiting, if the workspace's queue has room.
    ///
    /// # Errors
    ///
    /// [`QueueFull`] if the request would exceed the limit of requests or of bytes.
    pub fn admit(&mut self, workspace: &Workspace, bytes: usize) -> Result<(), QueueFull> {
        let usage = self.usage.entry(workspace.id).or_default();
        if workspace.queue <= usage.requests || workspace.queue_bytes < usage.bytes + bytes {
            return Err(QueueFull);
        }
        usage.requests += 1;
        usage.bytes += bytes;
        Ok(())
    }

    /// Removes a request with a body of `bytes` from the workspace's queue.
    pub fn release(&mut self, id: WorkspaceId, bytes: usize) {
        let Some(usage) = self.usage.get_mut(&id) else { return };
        usage.requests -= 1;
        usage.bytes -= bytes;
        if usage.requests == 0 {
            self.usage.remove(&id);
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.usage.values().map(|it| it.requests).sum()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.usage.is_empty()
    }
}
