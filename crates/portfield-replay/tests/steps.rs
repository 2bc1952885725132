//! Regression bounds on repeatable counts: what one decision costs must not grow with the
//! number of workspaces.

use portfield_replay::slopes::decide;

#[test]
fn a_grant_looks_at_few_workspaces_however_many_there_are() {
    for n_workspaces in [16, 1200] {
        let steps = decide(n_workspaces).steps;
        assert!(steps <= 1.1, "{steps} at {n_workspaces} workspaces");
    }
}
