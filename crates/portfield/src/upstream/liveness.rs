//! Whether an upstream that closed a connection is still alive.
//!
//! The end of a connection looks the same whether its process was killed or closed it. What differs is
//! whether the upstream's address accepts connections afterwards. A process that ends may close its
//! listening socket last: a connection counts only if it stays open for a while.

/// Attempts to open a connection until the check ends without a result.
const MAX_ATTEMPTS: u32 = 2;

/// What one attempt to open a connection to an upstream shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectEvidence {
    /// The connection was accepted and stayed open.
    StayedOpen,
    /// The connection was accepted, and closed soon after.
    Closed,
    /// The address refused the connection.
    Refused,
    /// No connection could be opened, for another reason.
    NoAnswer,
}

/// What the list of upstreams shows of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListEvidence {
    /// Nothing speaks against the upstream that was asked: it may also be draining or not listed.
    NotReplaced,
    /// Another incarnation may accept connections at its address.
    Replaced,
}

/// What is known of an upstream after it closed a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Liveness {
    /// It accepts connections.
    Alive,
    /// Its process has ended.
    Ended,
    /// Neither. An upstream that ended refuses connections: one that does not answer in time, or
    /// closes them, is more likely to be overloaded.
    Unclear,
}

impl Liveness {
    /// Combines what connections show with the list of upstreams.
    ///
    /// # Examples
    ///
    /// ```
    /// use portfield::upstream::{ListEvidence, Liveness};
    ///
    /// assert_eq!(Liveness::Alive.with_list(ListEvidence::Replaced), Liveness::Ended);
    /// assert_eq!(Liveness::Alive.with_list(ListEvidence::NotReplaced), Liveness::Alive);
    /// ```
    pub fn with_list(self, list: ListEvidence) -> Self {
        match list {
            ListEvidence::NotReplaced => self,
            ListEvidence::Replaced => Self::Ended,
        }
    }

    /// Returns the label used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Ended => "ended",
            Self::Unclear => "unclear",
        }
    }
}

/// Check of an upstream, by one or more connections.
///
/// # Examples
///
/// ```
/// use portfield::upstream::{ConnectEvidence, Liveness, LivenessCheck};
///
/// let mut check = LivenessCheck::default();
/// assert_eq!(check.record(ConnectEvidence::Closed), None);
/// assert_eq!(check.record(ConnectEvidence::Refused), Some(Liveness::Ended));
/// ```
#[derive(Debug, Clone, Default)]
pub struct LivenessCheck {
    n_attempts: u32,
}

impl LivenessCheck {
    /// Records an attempt; returns the result of the check, or `None` if another attempt is needed.
    pub fn record(&mut self, evidence: ConnectEvidence) -> Option<Liveness> {
        self.n_attempts += 1;
        match evidence {
            ConnectEvidence::StayedOpen => Some(Liveness::Alive),
            ConnectEvidence::Refused => Some(Liveness::Ended),
            // The listening socket may close just after it accepted, and a lossy link may lose one
            // attempt.
            ConnectEvidence::Closed | ConnectEvidence::NoAnswer => {
                (MAX_ATTEMPTS <= self.n_attempts).then_some(Liveness::Unclear)
            }
        }
    }
}
