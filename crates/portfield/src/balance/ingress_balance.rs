//! Which hosts of a data centre take new connections, decided by each host on its own.
//!
//! The load it handles: the platform assigns a connection to a host by hash, so a few large callers
//! fill two or three hosts of a data centre while the others are nearly idle. A host that fills up
//! leaves rotation (its readiness check fails, so that new connections go elsewhere) and closes some
//! of its callers' connections after a response, as long as other hosts have room. Hosts do not
//! agree on who leaves: each compares its load with what the others told in their digests.

use std::time::Duration;

use crate::fast_map::FastMap;

/// Load at which a host begins to move callers away: above it the host's timers soon fire late, and
/// it refuses requests.
const HIGH_LOAD: f64 = 0.8;
/// Load that a host moves callers away down to, and up to which another host has room.
const TARGET_LOAD: f64 = 0.6;
/// Load above which a host counts as no busier: a share cannot be exceeded for long, and how late
/// timers are is no measure of how much must be moved.
const MAX_LOAD: f64 = 1.2;
/// Room that the others must have, as a multiple of the load to be moved: their hosts may be
/// smaller, and other hosts move callers there too.
const ROOM_FACTOR: f64 = 2.0;
/// Fraction of a data centre's hosts that may be out of rotation by each host's own count. A host
/// that is out returns at a rank lower by half of this. Both together stay below one half, although
/// hosts know the loads of slightly different moments.
const OUT_RATIO: f64 = 0.25;
/// Fraction of a data centre's hosts that must have room before a host leaves rotation, and below
/// which it returns.
const ROOM_RATIO: (f64, f64) = (0.5, 0.375);
/// Age at which what a host told of its load is no longer used, at least, and in digest periods.
const STALE_AFTER: (Duration, u32) = (Duration::from_millis(600), 5);
/// Age at which a host that was heard no longer counts as one of the data centre's hosts.
const GONE_AFTER: Duration = Duration::from_secs(30);
/// Time out of rotation that a host must have left before it leaves: the platform checks readiness
/// each second and needs two failed checks.
const MIN_OUT: Duration = Duration::from_millis(2200);
/// Longest time out of rotation at once.
const MAX_OUT: Duration = Duration::from_millis(4400);
/// Time out of rotation that a host earns for each second in rotation. Together with [`MIN_OUT`] at
/// the start, a host is out for less than an eighth of 40 s and of any longer time.
const OUT_PER_IN: f64 = 1.0 / 14.0;
/// Failed readiness checks in a row after which the platform opens new connections elsewhere.
const MAX_FAILED_PROBES: u32 = 2;
/// Time in which the excess is moved away while new connections go elsewhere, and while they may
/// come back here.
const MOVE_TIME: (f64, f64) = (1.0, 4.0);
/// Fewest and most connections closed per second, for the same two cases. Each costs its caller a
/// new connection.
const CLOSE_RATE: ((f64, f64), (f64, f64)) = ((1.0, 16.0), (0.25, 4.0));
/// Connections closed in a burst.
const MAX_CLOSE_BURST: f64 = 2.0;
/// Part of the excess that is moved in an episode. The platform may assign all connections of a caller
/// to the same two hosts: where all of the excess was moved, these filled up, left rotation in their
/// turn and sent the callers back.
const MOVE_RATIO: f64 = 0.5;
/// Time for which the excess is moved that was found at its begin: the load is an average and falls
/// late, so that more would be moved if it were measured again at once.
const EPISODE: Duration = Duration::from_secs(10);
/// Connections closed in rotation after which at least half of them must be gone; otherwise the
/// platform assigns them to this host again.
const TRIAL_CLOSES: u32 = 6;

/// What a host told of its load.
#[derive(Debug, Clone, Copy)]
struct PeerLoad {
    load: f64,
    heard: Duration,
}

/// Load of this host.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct OwnLoad {
    /// Processor time in use, as a fraction of the host's share.
    pub load: f64,
    /// Callers' open connections.
    pub n_connections: usize,
    /// The workspace that offers most work here.
    pub largest_workspace: Option<u32>,
}

/// The data centre's hosts, as far as this host knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LocalHosts {
    /// Number of hosts, alive or not, including this one.
    pub n_known: usize,
    /// Time between two digests of a host.
    pub digest_period: Duration,
}

/// Whether a host takes new connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rotation {
    /// It answers the readiness check with 200.
    In,
    /// It answers the readiness check with 503.
    Out,
}

/// Whether a caller's connection is kept after a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionUse {
    /// It stays open.
    Keep,
    /// It is closed, so that its caller connects to another host.
    Close,
}

/// Loads of the other hosts that were told recently.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PeerSummary {
    /// Hosts heard recently.
    pub n_alive: usize,
    /// Hosts known that were not heard recently.
    pub n_silent: usize,
    /// Hosts heard recently that have room.
    pub n_with_room: usize,
    /// Sum of their room, in shares of a host.
    pub room: f64,
    /// Hosts heard recently that are more loaded than this one.
    pub n_busier: usize,
}

/// A time in which callers are moved away.
#[derive(Debug, Clone, Copy)]
struct Episode {
    started: Duration,
    /// Whether new connections go elsewhere.
    is_away: bool,
    /// Connections at its begin, and how many of them are to be closed.
    n_connections: usize,
    n_excess: f64,
    n_closed: u32,
}

impl Episode {
    /// Returns whether more connections are to be closed.
    fn is_open(&self, n_connections: usize) -> bool {
        let n_closed = self.n_closed as usize;
        let has_effect = n_connections + n_closed / 2 <= self.n_connections;
        let is_futile = !self.is_away && TRIAL_CLOSES <= self.n_closed && !has_effect;
        f64::from(self.n_closed) < self.n_excess && !is_futile
    }
}

/// Decides when this host is out of rotation and which connections it closes.
///
/// # Examples
///
/// ```
/// use portfield::balance::{IngressBalance, LocalHosts, OwnLoad, Rotation};
/// use std::time::Duration;
///
/// let mut balance = IngressBalance::new(1);
/// let now = Duration::from_secs(1);
/// (2..9).for_each(|host| balance.record_peer(now, host, 100));
/// let own = OwnLoad { load: 0.95, n_connections: 20, largest_workspace: Some(7) };
/// let hosts = LocalHosts { n_known: 8, digest_period: Duration::from_millis(50) };
/// balance.update(now, own, hosts);
/// assert_eq!(balance.rotation(), Rotation::Out, "seven hosts have room");
/// ```
#[derive(Debug)]
pub struct IngressBalance {
    host: u64,
    peers: FastMap<u64, PeerLoad>,
    own: OwnLoad,
    rotation: Rotation,
    /// When [`Self::rotation`] last changed.
    since: Duration,
    /// Time out of rotation that this host has left.
    out_left: Duration,
    updated: Option<Duration>,
    /// Failed readiness checks in a row.
    n_failed: u32,
    episode: Option<Episode>,
    /// Connections closed per second at present.
    close_rate: f64,
    /// Connections that may be closed now.
    close_tokens: f64,
}

impl IngressBalance {
    /// Creates the state of a host that was just started; `host` is its hash.
    pub fn new(host: u64) -> Self {
        Self {
            host,
            peers: FastMap::default(),
            own: OwnLoad::default(),
            rotation: Rotation::In,
            since: Duration::ZERO,
            out_left: MIN_OUT,
            updated: None,
            n_failed: 0,
            episode: None,
            close_rate: 0.0,
            close_tokens: 0.0,
        }
    }

    /// Records the load that another host of the data centre told, in thousandths of its share;
    /// zero tells nothing.
    pub fn record_peer(&mut self, now: Duration, host: u64, busy: u32) {
        if 0 < busy && host != self.host {
            self.peers.insert(host, PeerLoad { load: f64::from(busy) / 1000.0, heard: now });
        }
    }

    /// Records the answer to a readiness check of the platform.
    pub fn record_probe(&mut self, is_ready: bool) {
        self.n_failed = if is_ready { 0 } else { self.n_failed + 1 };
    }

    /// Returns whether this host takes new connections.
    pub fn rotation(&self) -> Rotation {
        self.rotation
    }

    /// Returns the load that this host tells the others, in thousandths of its share, at least one.
    pub fn busy(&self) -> u32 {
        ((self.own.load * 1000.0) as u32).max(1)
    }

    /// Decides again; to be called some tens of times per second. Returns the new state if this
    /// host leaves rotation or returns.
    pub fn update(
        &mut self,
        now: Duration,
        own: OwnLoad,
        hosts: LocalHosts,
    ) -> Option<(Rotation, PeerSummary)> {
        let elapsed = now.saturating_sub(self.updated.unwrap_or(now));
        self.updated = Some(now);
        self.own = OwnLoad { load: own.load.min(MAX_LOAD), ..own };
        self.peers.retain(|_, it| now < it.heard + GONE_AFTER);
        let peers = self.summarize(now, hosts);
        let n_known = hosts.n_known.max(1 + self.peers.len());
        let rotation = match self.rotation {
            Rotation::In => {
                let earned = self.out_left + elapsed.mul_f64(OUT_PER_IN);
                self.out_left = earned.min(MAX_OUT);
                if self.may_leave(peers, n_known) { Rotation::Out } else { Rotation::In }
            }
            Rotation::Out => {
                self.out_left = self.out_left.saturating_sub(elapsed);
                if self.must_return(peers, n_known) { Rotation::In } else { Rotation::Out }
            }
        };
        self.update_close_rate(now, elapsed, peers, n_known);
        if rotation == self.rotation {
            return None;
        }
        self.rotation = rotation;
        self.since = now;
        Some((rotation, peers))
    }

    /// Returns whether to close the connection of a request of this workspace after its response.
    pub fn connection_use(&mut self, workspace: u32) -> ConnectionUse {
        let is_largest = self.own.largest_workspace == Some(workspace);
        if !is_largest || self.close_rate == 0.0 || self.close_tokens < 1.0 {
            return ConnectionUse::Keep;
        }
        self.close_tokens -= 1.0;
        if let Some(it) = &mut self.episode {
            it.n_closed += 1;
        }
        ConnectionUse::Close
    }

    /// Returns how long this host has been in its state of rotation.
    pub fn rotation_age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.since)
    }

    fn summarize(&self, now: Duration, hosts: LocalHosts) -> PeerSummary {
        let stale_after = STALE_AFTER.0.max(hosts.digest_period * STALE_AFTER.1);
        let mut res = PeerSummary::default();
        for (host, it) in &self.peers {
            if it.heard + stale_after < now {
                continue;
            }
            res.n_alive += 1;
            let room = TARGET_LOAD - it.load;
            if 0.0 < room {
                res.n_with_room += 1;
                res.room += room;
            }
            // Equal loads are ordered by hash, so that hosts do not all take the same rank.
            let (own, other) = (self.own.load, it.load);
            res.n_busier += usize::from(own < other || (own == other && self.host < *host));
        }
        let n_known = hosts.n_known.max(1 + self.peers.len());
        res.n_silent = n_known - 1 - res.n_alive;
        res
    }

    fn excess(&self) -> f64 {
        (self.own.load - TARGET_LOAD).max(0.0)
    }

    fn may_leave(&self, peers: PeerSummary, n_known: usize) -> bool {
        let n_known = n_known as f64;
        // Silent hosts may be out of rotation, or gone.
        let n_out = (n_known * OUT_RATIO).floor() - peers.n_silent as f64;
        // A start takes processor time too, but without callers there is nobody to move.
        0 < self.own.n_connections
            && HIGH_LOAD <= self.own.load
            && MIN_OUT <= self.out_left
            && (peers.n_busier as f64) < n_out
            && n_known * ROOM_RATIO.0 <= peers.n_with_room as f64
            && self.excess() * ROOM_FACTOR <= peers.room
    }

    fn must_return(&self, peers: PeerSummary, n_known: usize) -> bool {
        let n_known = n_known as f64;
        let n_out = (n_known * OUT_RATIO * 1.5).floor().max(1.0) - peers.n_silent as f64;
        self.own.load <= TARGET_LOAD
            || self.out_left.is_zero()
            || n_out <= peers.n_busier as f64
            || (peers.n_with_room as f64) < n_known * ROOM_RATIO.1
            || peers.room < self.excess()
    }

    /// Sets how many connections are closed per second, in proportion to the excess.
    fn update_close_rate(
        &mut self,
        now: Duration,
        elapsed: Duration,
        peers: PeerSummary,
        n_known: usize,
    ) {
        let has_room_elsewhere = n_known as f64 * ROOM_RATIO.1 <= peers.n_with_room as f64
            && self.excess() * ROOM_FACTOR <= peers.room;
        let starts_at = if self.episode.is_some() { TARGET_LOAD } else { HIGH_LOAD };
        if !has_room_elsewhere || self.own.load <= starts_at {
            self.episode = None;
            (self.close_rate, self.close_tokens) = (0.0, 0.0);
            return;
        }
        let OwnLoad { load, n_connections, .. } = self.own;
        let is_away = MAX_FAILED_PROBES <= self.n_failed;
        let is_current = |it: &Episode| it.is_away == is_away && now < it.started + EPISODE;
        let episode = self.episode.filter(is_current).unwrap_or_else(|| {
            let n_excess = n_connections as f64 * self.excess() / load * MOVE_RATIO;
            Episode { started: now, is_away, n_connections, n_excess, n_closed: 0 }
        });
        self.episode = Some(episode);
        if !episode.is_open(n_connections) {
            (self.close_rate, self.close_tokens) = (0.0, 0.0);
            return;
        }
        let (time, bounds) =
            if is_away { (MOVE_TIME.0, CLOSE_RATE.0) } else { (MOVE_TIME.1, CLOSE_RATE.1) };
        self.close_rate = (episode.n_excess / time).clamp(bounds.0, bounds.1);
        let earned = self.close_tokens + self.close_rate * elapsed.as_secs_f64();
        self.close_tokens = earned.min(MAX_CLOSE_BURST);
    }
}
