//! How long requests of each route take. An entry that is stopping uses it to refuse requests that
//! it can't finish.

use crate::config::route::RouteName;
use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Weight of a new sample in the moving mean, which covers some fifty requests.
const SMOOTHING: f64 = 0.02;

/// A request is expected to take up to this many times the mean. Output lengths spread by about
/// their mean, so one request in ten takes longer.
const EXPECTED_FACTOR: f64 = 2.0;

/// Upper bound on the routes that are kept; operators add routes by the hundred.
const MAX_ROUTES: usize = 4_096;

/// The mean duration of each route's requests.
#[derive(Debug, Default)]
pub struct Durations(Mutex<HashMap<RouteName, f64>>);

impl Durations {
    /// Records the duration of a request.
    pub fn record(&self, route: &RouteName, duration: Duration) {
        let mut means = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if means.len() >= MAX_ROUTES {
            means.clear();
        }
        let duration = duration.as_secs_f64();
        match means.get_mut(route) {
            Some(mean) => *mean += (duration - *mean) * SMOOTHING,
            None => {
                means.insert(route.clone(), duration);
            }
        }
    }

    /// Returns how long a request of the route may take: zero for a route that has had no requests.
    pub fn expected(&self, route: &RouteName) -> Duration {
        let means = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        means
            .get(route)
            .map_or(Duration::ZERO, |mean| Duration::from_secs_f64(mean * EXPECTED_FACTOR))
    }
}
