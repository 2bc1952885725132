//! Regression bound on a repeatable count: the cost of a grant must not grow with the number of
//! workspaces.

use portfield_replay::scaling::measure_tickets;

#[test]
fn grant_cost_does_not_grow_with_the_number_of_workspaces() {
    for n_workspaces in [16, 1200] {
        let examined = measure_tickets(n_workspaces).examined;
        assert!(
            examined <= 1.1,
            "{examined} workspaces examined per grant at {n_workspaces} workspaces"
        );
    }
}
