//! The upstreams that this host knows, as requests are placed on them.

use std::{collections::HashMap, sync::Arc};

use bytes::Bytes;
use portfield::{
    balance::Candidate,
    catalog::{Directory, Upstream},
};

/// Upstreams and the entries they were read from, by id.
#[derive(Debug, Default)]
pub(crate) struct Listed {
    pub directory: Directory,
    pub entries: HashMap<String, Bytes>,
    /// By service, made anew with each change: every request reads it.
    pub ready: HashMap<String, Arc<Ready>>,
}

/// The upstreams of a service that take new requests, both lists in the same order.
#[derive(Debug, Default)]
pub(crate) struct Ready {
    pub upstreams: Vec<Arc<Upstream>>,
    pub candidates: Vec<Candidate>,
}

impl Listed {
    /// Makes the lists by service anew; `here` is this host's data centre.
    pub(crate) fn group(&mut self, here: &str) {
        let mut ready: HashMap<String, Ready> = HashMap::new();
        for it in self.directory.ready() {
            let group = ready.entry(it.entry.service.clone()).or_default();
            group.upstreams.push(it.clone());
            group.candidates.push(Candidate {
                upstream: number(it),
                slots: it.entry.slots,
                near: it.entry.data_centre == here,
            });
        }
        self.ready = ready.into_iter().map(|(service, it)| (service, Arc::new(it))).collect();
    }
}

/// Returns an upstream's number among the hosts.
pub(crate) fn number(it: &Upstream) -> u32 {
    it.hash as u32
}
