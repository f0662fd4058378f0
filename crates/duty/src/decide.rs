//! Which engines change role under load: the interface to crate `policy`.

use conf::resource::Policy;
use policy::Time;
use policy::roles::{Change, Demand, Engine, Planner, Settings};

/// Chooses changes of role.
pub trait Decide: Send {
    /// Applies the weights and limits that operators set.
    fn set(&mut self, policy: &Policy);

    /// The changes to order now, given the engines of a pool and the demand of callers.
    fn decide(&mut self, engines: &[Engine], demand: Demand, now: Time) -> Vec<Change>;
}

/// Chooses changes with [`policy::roles::RolePlanner`].
pub struct Roles(policy::roles::RolePlanner);

impl Default for Roles {
    fn default() -> Self {
        Self(policy::roles::RolePlanner::new(Settings::default()))
    }
}

impl Decide for Roles {
    fn set(&mut self, policy: &Policy) {
        self.0.update_settings(Settings::from(policy));
    }

    fn decide(&mut self, engines: &[Engine], demand: Demand, now: Time) -> Vec<Change> {
        self.0.observe(demand, now);
        self.0.decide(engines, now)
    }
}
