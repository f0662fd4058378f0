//! How long requests of each route take, for an entry that stops and must not begin what it can't
//! end.

use crate::config::route::RouteName;
use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// The weight of a new sample in the mean: some fifty requests are remembered.
const SMOOTHING: f64 = 0.02;

/// A request counts as one that may take this many times the mean. Lengths of output spread by
/// about their mean, so one in ten takes longer.
const LONG: f64 = 2.0;

/// Routes that are remembered; operators add them by the hundred.
const MAX_ROUTES: usize = 4_096;

/// The mean duration of each route's requests.
#[derive(Debug, Default)]
pub struct Durations(Mutex<HashMap<RouteName, f64>>);

impl Durations {
    /// Takes in how long a request took.
    pub fn record(&self, route: &RouteName, took: Duration) {
        let mut means = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if means.len() >= MAX_ROUTES {
            means.clear();
        }
        let took = took.as_secs_f64();
        match means.get_mut(route) {
            Some(mean) => *mean += (took - *mean) * SMOOTHING,
            None => {
                means.insert(route.clone(), took);
            }
        }
    }

    /// How long a request of the route may well take; nothing is known of one that had none.
    pub fn expected(&self, route: &RouteName) -> Duration {
        let means = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        means.get(route).map_or(Duration::ZERO, |mean| Duration::from_secs_f64(mean * LONG))
    }
}
