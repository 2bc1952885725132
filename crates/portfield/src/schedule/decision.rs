//! Log of recent scheduling decisions, for operators.

use std::{collections::VecDeque, fmt, time::Duration};

use super::shard_key::ShardKey;
use crate::{
    ids::{HostId, LoanId, TicketId, UpstreamId},
    wire,
};

/// Decisions kept; beyond it the oldest are dropped.
const MAX_DECISIONS: usize = 8192;

/// What was decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// A ticket was queued.
    Queued {
        /// The shard.
        shard: ShardKey,
        /// Cost that the caller expects, in tokens; zero if unknown.
        hint: u32,
    },
    /// A ticket was granted a slot.
    Granted {
        /// The shard that granted it.
        shard: ShardKey,
        /// The upstream of the slot.
        upstream: UpstreamId,
        /// Cost reserved for it, in tokens.
        estimate: u32,
        /// Loan of the slot, zero if the shard has the slot itself.
        loan: LoanId,
    },
    /// A ticket was not queued.
    Refused {
        /// The shard.
        shard: ShardKey,
        /// Delay before a retry.
        retry: Duration,
    },
    /// A request that had a grant ended.
    Ended {
        /// The shard.
        shard: ShardKey,
        /// Cost charged, in tokens.
        cost: u32,
        /// Whether the router gave the grant up.
        declined: bool,
    },
    /// A shard was handed over to another owner.
    HandedOver {
        /// The shard.
        shard: ShardKey,
    },
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Queued { shard, hint } => write!(f, "queued at {shard}, hint {hint}"),
            Self::Granted { shard, upstream, estimate, loan } => {
                write!(f, "granted by {shard} on upstream {upstream}, estimate {estimate}")?;
                if *loan == 0 { Ok(()) } else { write!(f, ", a borrowed slot") }
            }
            Self::Refused { shard, retry } => write!(f, "refused by {shard}, retry in {retry:?}"),
            Self::Ended { shard, cost, declined } => {
                write!(f, "ended at {shard}, charged {cost}")?;
                if *declined { write!(f, ", given up by its router") } else { Ok(()) }
            }
            Self::HandedOver { shard } => write!(f, "handed over {shard}"),
        }
    }
}

/// One decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Decision {
    /// When it was made.
    pub at: Duration,
    /// Host of the router; for a hand-over, the host that gave up the shard.
    pub host: HostId,
    /// The ticket, zero if the decision concerns none.
    pub ticket: TicketId,
    /// What was decided.
    pub step: Step,
}

/// The latest decisions, oldest first.
#[derive(Debug, Clone, Default)]
pub(super) struct DecisionLog {
    entries: VecDeque<Decision>,
}

impl DecisionLog {
    /// Adds a decision.
    pub(super) fn record(&mut self, at: Duration, host: HostId, ticket: TicketId, step: Step) {
        self.entries.push_back(Decision { at, host, ticket, step });
        if MAX_DECISIONS < self.entries.len() {
            self.entries.pop_front();
        }
    }

    /// Adds the grants and refusals of an answer to a router.
    pub(super) fn record_answer(&mut self, at: Duration, host: HostId, answer: &wire::ShardAnswer) {
        let Some(shard) = answer.shard.as_ref().map(ShardKey::from) else { return };
        for it in &answer.grants {
            let (upstream, estimate, loan) = (it.upstream, it.estimate, it.loan);
            self.record(at, host, it.ticket, Step::Granted { shard, upstream, estimate, loan });
        }
        for it in &answer.refusals {
            let retry = Duration::from_millis(it.retry.into());
            self.record(at, host, it.ticket, Step::Refused { shard, retry });
        }
    }

    /// Returns the decisions about a router's ticket, oldest first.
    pub(super) fn of_ticket(
        &self,
        host: HostId,
        ticket: TicketId,
    ) -> impl Iterator<Item = &Decision> {
        self.entries.iter().filter(move |it| it.host == host && it.ticket == ticket)
    }
}
