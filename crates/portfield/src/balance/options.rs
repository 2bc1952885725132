//! Which optional decisions a deployment asks for.

/// Whether an optional decision is made.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Switch {
    /// It is not made.
    #[default]
    Off,
    /// It is made.
    On,
}

impl Switch {
    /// Returns whether the decision is made.
    pub fn is_on(self) -> bool {
        self == Self::On
    }
}

/// Optional decisions, all off by default.
///
/// # Examples
///
/// ```
/// use portfield::balance::{Balancer, BalancerOptions, Switch};
/// use std::time::Duration;
///
/// let mut balancer = Balancer::new(Duration::from_secs(4));
/// balancer.set_options(BalancerOptions { cache_transfer: Switch::On, ..BalancerOptions::default() });
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BalancerOptions {
    /// Engines fetch cached prompt parts from each other.
    pub cache_transfer: Switch,
    /// Each engine's speed is learned by itself.
    pub engine_speed: Switch,
    /// Shares are computed from what engines can do instead of what was granted.
    pub capacity_shares: Switch,
    /// The memory of running requests limits what is sent to an engine.
    pub memory_limits: Switch,
    /// Requests are spread over engines whose loads this host cannot tell apart.
    pub spread_placement: Switch,
}
