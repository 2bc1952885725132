//! Memory held for callers and upstreams: request bodies, and responses that callers have not read.
//!
//! The load this answers: hundreds of callers that ask for large responses and read slowly or not at
//! all, at a host of 160 MB. Each request has an account; the sum is bounded by a fraction of the
//! process's memory. When it is short, responses are no longer read ahead, then the connections that
//! hold most and read least are ended, and then new requests are refused.

use std::{
    collections::BTreeMap,
    net::{Shutdown, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use async_io::Async;

use crate::atomic_instant::AtomicInstant;

/// Part of the process's memory that may be held for callers and upstreams. The rest is for state,
/// code, idle connections, and for buffers that grow by doubling: with 0.5, and 64 KB a request, 76 MB
/// held were 153 MB resident.
const HELD_RATIO: f64 = 0.4;
/// Part of that above which responses are no longer read ahead.
const READ_AHEAD_RATIO: f64 = 0.7;
/// Part of that above which no further request is taken.
const ADMISSION_RATIO: f64 = 0.9;
/// Memory of a request besides its body and response: HTTP buffers on both connections.
const REQUEST_BYTES: u64 = 96 << 10;
/// Bytes of a response that may always be read, so that each caller gets on.
pub(crate) const MIN_READ_AHEAD: u64 = 32 << 10;
/// Bytes that are held for one connection at most, also where the memory is not bounded.
const MAX_CONNECTION_BYTES: u64 = 4 << 20;
/// Time without reading after which a caller counts as stalled.
const STALLED_AFTER: Duration = Duration::from_secs(1);
/// Bytes that the kernel buffers of a connection in each direction where memory is bounded: its
/// default grows to 4 MB for a caller who reads nothing. At 6 ms there and back, 64 KB allow 10 MB/s.
const SOCKET_BUFFER: usize = 64 << 10;
/// Retry delay given to a caller whose request is refused for lack of memory; the retry goes to
/// another host, or finds that some connections have ended.
pub(crate) const RETRY: Duration = Duration::from_millis(500);

/// Returns the size of sockets' buffers for a process of this memory, zero if it is not bounded.
pub(crate) fn socket_buffer(memory_mb: u64) -> Option<usize> {
    (0 < memory_mb).then_some(SOCKET_BUFFER)
}

/// Memory held by all requests of this process.
#[derive(Debug, Default)]
pub(crate) struct HeldMemory {
    total: AtomicU64,
    /// Highest total so far.
    peak: AtomicU64,
    accounts: Mutex<Accounts>,
}

#[derive(Debug, Default)]
struct Accounts {
    n_opened: u64,
    open: BTreeMap<u64, Arc<Account>>,
}

/// What is held for one request.
#[derive(Debug)]
struct Account {
    caller: Arc<Async<TcpStream>>,
    bytes: AtomicU64,
    /// The response is complete in memory.
    is_whole: AtomicBool,
    is_ended: AtomicBool,
    /// The caller's connection would take more of the response.
    wants_more: AtomicBool,
    /// When the caller's connection last took a part of the response.
    last_taken: AtomicInstant,
}

impl Account {
    /// Returns for how long the caller has read nothing, if that is long enough to end it.
    fn stalled_time(&self) -> Option<Duration> {
        let is_exempt = self.is_whole.load(Ordering::Relaxed)
            || self.is_ended.load(Ordering::Relaxed)
            || self.wants_more.load(Ordering::Relaxed);
        if is_exempt {
            return None;
        }
        self.last_taken.elapsed().filter(|it| STALLED_AFTER <= *it)
    }
}

/// A caller's connection that was ended for lack of memory.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Ended {
    /// Bytes that were held for it.
    pub bytes: u64,
    /// Time for which the caller had read nothing.
    pub stalled: Duration,
}

impl HeldMemory {
    /// Opens the account of a request that holds `bytes` from the start, in a process of `memory`
    /// bytes; zero if that is not bounded. Ends stalled connections where there is no room.
    ///
    /// Returns `None` if there still is none, and the connections that were ended.
    pub(crate) fn admit(
        self: &Arc<Self>,
        caller: &Arc<Async<TcpStream>>,
        bytes: u64,
        memory: u64,
    ) -> (Option<Held>, Vec<Ended>) {
        let limit = part(memory, HELD_RATIO);
        let wanted = REQUEST_BYTES + bytes;
        let max = part(limit, ADMISSION_RATIO);
        let mut accounts = self.accounts();
        let ended = self.end_stalled(&accounts, max.saturating_sub(wanted));
        if max < self.total() + wanted {
            return (None, ended);
        }
        let account = Arc::new(Account {
            caller: caller.clone(),
            bytes: AtomicU64::new(0),
            is_whole: AtomicBool::new(false),
            is_ended: AtomicBool::new(false),
            wants_more: AtomicBool::new(true),
            last_taken: AtomicInstant::default(),
        });
        accounts.n_opened += 1;
        let id = accounts.n_opened;
        accounts.open.insert(id, account.clone());
        drop(accounts);
        let held = Held { memory: self.clone(), account, id, limit };
        held.grow(wanted);
        (Some(held), ended)
    }

    /// Ends stalled connections, those with the most bytes for the longest time first, until the
    /// total is at most `target`.
    fn end_stalled(&self, accounts: &Accounts, target: u64) -> Vec<Ended> {
        let mut res = Vec::new();
        if self.total() <= target {
            return res;
        }
        let stalled = accounts.open.values().filter_map(|it| Some((it.stalled_time()?, it)));
        let mut stalled: Vec<_> = stalled.collect();
        let rank = |time: Duration, it: &Account| {
            it.bytes.load(Ordering::Relaxed) as u128 * time.as_millis()
        };
        stalled.sort_by_cached_key(|(time, it)| std::cmp::Reverse(rank(*time, it)));
        for (time, it) in stalled {
            if self.total() <= target {
                break;
            }
            it.is_ended.store(true, Ordering::Relaxed);
            // The account is closed once the connection's task has noticed; its bytes are as good as
            // free.
            let bytes = it.bytes.swap(0, Ordering::Relaxed);
            self.total.fetch_sub(bytes, Ordering::Relaxed);
            let _ = it.caller.get_ref().shutdown(Shutdown::Both);
            res.push(Ended { bytes, stalled: time });
        }
        res
    }

    /// Returns the bytes held.
    pub(crate) fn total(&self) -> u64 {
        self.total.load(Ordering::Relaxed)
    }

    /// Returns the most bytes ever held.
    pub(crate) fn peak(&self) -> u64 {
        self.peak.load(Ordering::Relaxed)
    }

    fn accounts(&self) -> MutexGuard<'_, Accounts> {
        self.accounts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The open account of a request; closed when dropped.
#[derive(Debug)]
pub(crate) struct Held {
    memory: Arc<HeldMemory>,
    account: Arc<Account>,
    id: u64,
    /// Bytes that all accounts together may hold.
    limit: u64,
}

impl Held {
    /// Adds bytes that are held in any case.
    fn grow(&self, n: u64) {
        self.account.bytes.fetch_add(n, Ordering::Relaxed);
        let total = self.memory.total.fetch_add(n, Ordering::Relaxed) + n;
        self.memory.peak.fetch_max(total, Ordering::Relaxed);
    }

    /// Adds bytes of a request body; returns whether there is room for them.
    pub(crate) fn grow_request(&self, n: u64) -> bool {
        let has_room = self.memory.total() + n <= part(self.limit, ADMISSION_RATIO);
        if has_room {
            self.grow(n);
        }
        has_room
    }

    /// Adds bytes of a response, of which `unread` wait for the caller; returns whether there is room
    /// for them. A caller for whom little waits always has room.
    pub(crate) fn grow_response(&self, n: u64, unread: u64) -> bool {
        let has_room = unread + n <= MIN_READ_AHEAD
            || (unread + n <= MAX_CONNECTION_BYTES
                && self.memory.total() + n <= part(self.limit, READ_AHEAD_RATIO));
        if has_room || unread == 0 {
            self.grow(n);
            return true;
        }
        false
    }

    /// Removes bytes that the caller's connection has taken.
    pub(crate) fn shrink(&self, n: u64) {
        // An ended account holds nothing, whatever is still to be freed.
        if self.account.is_ended.load(Ordering::Relaxed) {
            return;
        }
        let update = |it: u64| Some(it.saturating_sub(n));
        let before = self.account.bytes.fetch_update(Ordering::Relaxed, Ordering::Relaxed, update);
        let removed = n.min(before.unwrap_or_default());
        self.memory.total.fetch_sub(removed, Ordering::Relaxed);
    }

    /// Marks the response as complete in memory: the connection is not ended for lack of memory.
    pub(crate) fn mark_whole(&self) {
        self.account.is_whole.store(true, Ordering::Relaxed);
    }

    /// Records that the caller's connection took a part of the response.
    pub(crate) fn record_taken(&self) {
        self.account.wants_more.store(false, Ordering::Relaxed);
        self.account.last_taken.set_now();
    }

    /// Records that the caller's connection waits for the next part of the response.
    pub(crate) fn record_wanted(&self) {
        self.account.wants_more.store(true, Ordering::Relaxed);
    }

    /// Returns whether the connection was ended for lack of memory.
    pub(crate) fn is_ended(&self) -> bool {
        self.account.is_ended.load(Ordering::Relaxed)
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.memory.accounts().open.remove(&self.id);
        let bytes = self.account.bytes.swap(0, Ordering::Relaxed);
        self.memory.total.fetch_sub(bytes, Ordering::Relaxed);
    }
}

/// Returns a part of a bound; an unknown bound stays unbounded.
fn part(bound: u64, ratio: f64) -> u64 {
    if bound == 0 || bound == u64::MAX { u64::MAX } else { (bound as f64 * ratio) as u64 }
}
