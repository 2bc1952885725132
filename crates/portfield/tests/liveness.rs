//! Whether an upstream is alive, from what connections to it show.

use portfield::upstream::{
    ConnectEvidence::{self, *},
    Liveness, LivenessCheck,
};

fn result(evidence: &[ConnectEvidence]) -> Option<Liveness> {
    let mut check = LivenessCheck::default();
    evidence.iter().fold(None, |res, it| res.or_else(|| check.record(*it)))
}

/// A killed process may accept a connection before it closes its listening socket.
#[test]
fn a_connection_that_closes_is_no_evidence_of_life() {
    assert_eq!(result(&[Closed]), None);
    assert_eq!(result(&[Closed, Refused]), Some(Liveness::Ended));
    assert_eq!(result(&[Closed, StayedOpen]), Some(Liveness::Alive));
}

/// An upstream under load that answers no connection in time, or closes it, has not ended.
#[test]
fn an_upstream_that_does_not_answer_has_not_ended() {
    for last in [NoAnswer, Closed] {
        assert_eq!(result(&[NoAnswer, last]), Some(Liveness::Unclear));
    }
    assert_eq!(result(&[NoAnswer, Refused]), Some(Liveness::Ended));
}
