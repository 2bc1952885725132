//! What crashes of upstreams are counted against: whole requests and parts of their prompts.

use super::fingerprint::Fingerprint;
use crate::{upstream::Prompt, wire};

/// Parts of one prompt that crashes count against, the first ones: a request that names thousands
/// must not fill the memory of the hosts.
const MAX_PARTS: usize = 16;

/// Kind of a suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SuspectKind {
    /// A request with all its copies.
    Request,
    /// A part of prompts, whatever else the requests hold.
    Part,
}

/// Key of a suspect in messages between hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SuspectKey {
    /// Whether it is a request or a part.
    pub kind: SuspectKind,
    /// Hash of the workspace's name; for a part, of the service's.
    pub owner: u32,
    /// Fingerprint of the request, or id of the part.
    pub fingerprint: Fingerprint,
}

impl SuspectKey {
    /// Returns the key of a request of a workspace.
    pub fn request(workspace: u32, fingerprint: Fingerprint) -> Self {
        Self { kind: SuspectKind::Request, owner: workspace, fingerprint }
    }

    /// Returns the key of a prompt part at a service. The same content may be harmless to the
    /// software of another service.
    pub fn part(service: u32, id: u64) -> Self {
        Self { kind: SuspectKind::Part, owner: service, fingerprint: id }
    }

    /// Returns whether it is a part of prompts.
    pub fn is_part(self) -> bool {
        self.kind == SuspectKind::Part
    }

    /// Returns the fingerprint, or the id of the part, as logs and pages show it.
    pub fn fingerprint_hex(&self) -> String {
        match self.kind {
            SuspectKind::Request => format!("{:016x}", self.fingerprint),
            SuspectKind::Part => format!("{:x}", self.fingerprint),
        }
    }
}

impl From<&wire::Suspect> for SuspectKey {
    fn from(it: &wire::Suspect) -> Self {
        let new = if it.part { Self::part } else { Self::request };
        new(it.workspace, it.fingerprint)
    }
}

impl From<&wire::RunningSuspect> for SuspectKey {
    fn from(it: &wire::RunningSuspect) -> Self {
        let new = if it.part { Self::part } else { Self::request };
        new(it.workspace, it.fingerprint)
    }
}

impl From<SuspectKey> for wire::RunningSuspect {
    fn from(it: SuspectKey) -> Self {
        Self { fingerprint: it.fingerprint, workspace: it.owner, part: it.is_part() }
    }
}

/// Everything about a request that a crash may be due to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestKeys {
    /// The request as a whole.
    pub request: SuspectKey,
    /// The parts of its prompt that others may share, each once.
    pub parts: Vec<SuspectKey>,
}

impl RequestKeys {
    /// Returns the keys of a request to a service. The last part of a prompt belongs to the request
    /// or its session alone, unless it also stands earlier in the prompt.
    ///
    /// # Examples
    ///
    /// ```
    /// use portfield::{
    ///     quarantine::{RequestKeys, SuspectKey},
    ///     upstream::{Prompt, PromptPart},
    /// };
    ///
    /// let part = |id| PromptPart { id, tokens: 10 };
    /// let prompt = Prompt { parts: vec![part(0xaa), part(0xbb)], ..Prompt::default() };
    /// let keys = RequestKeys::new(SuspectKey::request(7, 1), 3, Some(&prompt));
    /// assert_eq!(keys.parts, [SuspectKey::part(3, 0xaa)]);
    /// ```
    pub fn new(request: SuspectKey, service: u32, prompt: Option<&Prompt>) -> Self {
        let all = prompt.map_or(&[][..], |it| &it.parts);
        let shared = &all[..all.len().saturating_sub(1)];
        let mut parts: Vec<SuspectKey> = Vec::with_capacity(shared.len().min(MAX_PARTS));
        for it in shared.iter().map(|it| SuspectKey::part(service, it.id)) {
            if parts.len() < MAX_PARTS && !parts.contains(&it) {
                parts.push(it);
            }
        }
        Self { request, parts }
    }

    /// Returns the request and its parts.
    pub fn all(&self) -> impl Iterator<Item = SuspectKey> {
        std::iter::once(self.request).chain(self.parts.iter().copied())
    }
}
