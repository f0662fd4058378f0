//! Chooses targets of a plain service so that few connections are opened.
//!
//! **Load pattern.** Hundreds of entries send one or two requests per second each to tens of
//! targets. **Without this**, an entry spreads them over all targets, and hardly any connection is
//! used twice before the target closes it: nearly each request opens one, which takes time and a
//! slot at the target. **Approach.** An entry keeps to targets to which it has an idle connection
//! while they have slots to spare, by their own reports and its own requests. Beyond that, the
//! least utilized target is chosen, whether connected or not, so a burst at one entry finds room
//! and a busy target is left. Targets of the own failure domain are not preferred: callers are
//! spread unevenly over the domains, and connections that are kept would keep that up.

/// A target that could get a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Whether it can't be reached or doesn't respond.
    pub unavailable: bool,
    /// The share of its slots in use, with a penalty for failures.
    pub utilization: f64,
    /// Whether there is an idle connection to it.
    pub is_connected: bool,
}

/// The utilization up to which a target has slots to spare, so that a request doesn't wait there.
const SPARE_UTILIZATION: f64 = 0.5;

/// The order of preference among targets; the lowest is best.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rank {
    unavailable: bool,
    not_reusable: bool,
    utilization: f64,
}

impl Rank {
    /// Compares two ranks.
    pub fn compare(&self, other: &Self) -> std::cmp::Ordering {
        self.unavailable
            .cmp(&other.unavailable)
            .then(self.not_reusable.cmp(&other.not_reusable))
            .then(self.utilization.total_cmp(&other.utilization))
    }
}

/// How many targets an entry keeps connections to. With one each, the load of a target would depend
/// on which entries happen to keep to it.
const KEPT_TARGETS: usize = 2;

/// Returns the rank of a candidate, for an entry that is connected to so many targets.
pub fn rank(candidate: &Candidate, connected: usize) -> Rank {
    let Candidate { unavailable, utilization, is_connected } = *candidate;
    let keeps = connected >= KEPT_TARGETS;
    let not_reusable = is_connected != keeps || utilization >= SPARE_UTILIZATION;
    Rank { unavailable, not_reusable, utilization }
}
