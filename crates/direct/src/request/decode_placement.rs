//! Books a place for a stream at an engine that writes: asks the coordinators of the groups.
//!
//! **Load pattern.** Hundreds of KV caches a second go to engines that write eight to some dozen streams
//! at once, while streams of seconds come and go there. **Without it** each entry goes by what the
//! others told it 85 to 300 ms ago, in which time ten others have chosen: prompts that were read in time
//! wait for a place or for the link of one engine while others are free. **How.** As for prompts, see
//! [`crate::request::prefill_placement`]: the group of the engine that read the prompt is asked first, since KV cache takes
//! half as long within a failure domain, and others if its engines are half full. If nobody answers, the
//! entry chooses by what it knows.

use crate::cluster::entry_state::short_hash;
use crate::cluster::groups::Group;
use crate::cluster::messages::{Decision, DecodeRequest, Payload};
use crate::request::context::Job;
use crate::request::coordinator_client;
use crate::request::permits::Permit;
use crate::request::reservation::Reservation;
use crate::targets::target::Target;
use policy::reservations::ReservationId;
use std::sync::Arc;
use std::time::Duration;

/// How full an engine may be for a stream from each group asked in turn, in hundredths of its places.
/// The last may queue some: a stream that waits for one of its places goes on sooner than if it asked
/// around once more.
const FILLED: [u32; 4] = [50, 75, 100, 150];

/// A stream that was booked for longer than this has ended, whatever became of the word that it did.
const MOST_LAPSE: Duration = Duration::from_secs(20);

/// The same for each token of its output, besides [`LEAST_LAPSE`]: some times what engines take.
const LAPSE_EACH: Duration = Duration::from_millis(4);

/// The time for the KV cache to arrive and the first token to be made, with all that waits before it.
const LEAST_LAPSE: Duration = Duration::from_millis(500);

/// A place that was booked.
pub struct Place {
    /// The engine.
    pub engine: Arc<Target>,
    /// Whether the stream may be sent there.
    pub permit: Permit,
    /// The booking.
    pub reservation: Reservation,
}

/// Books a place at an engine that was not tried, near an engine in the failure domain `near`.
pub async fn find(job: &Job, tried: &[Arc<Target>], near: &str) -> Option<Place> {
    let groups = job.shared.groups(&job.service.name);
    for (at, filled) in order(job, &groups, near).into_iter().zip(FILLED) {
        let group = &groups[at];
        let make = |booking| Payload::DecodeRequest(ask(job, group, tried, booking, filled));
        let (answer, coordinator) =
            coordinator_client::ask(job, group, job.route.objective, make).await?;
        if let Some(Decision::Granted(granted)) = answer.decision {
            let engine =
                group.engines.iter().find(|e| short_hash(e.key) == granted.engine)?.clone();
            let reservation =
                Reservation::new(&job.shared, &engine, answer.reservation, coordinator, None);
            let permit = Permit::of(granted.permit);
            return Some(Place { engine, permit, reservation });
        }
    }
    None
}

/// The groups to ask: those of the failure domain first, the others in an order of chance, so that what
/// one group has no room for spreads over all others. Those without an engine that writes are left out.
fn order(job: &Job, groups: &[Group], near: &str) -> Vec<usize> {
    let writes = |group: &Group| {
        group
            .engines
            .iter()
            .any(|engine| engine.stage() == Some(crate::config::route::Stage::Decode))
    };
    let able = (0..groups.len()).filter(|&at| writes(&groups[at]));
    let is_far = |at: usize| groups[at].engines.iter().all(|engine| engine.domain != near);
    let mut order: Vec<_> = able.map(|at| (is_far(at), job.shared.random(), at)).collect();
    order.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
    // The only one, or the last of few, may be as full as the last of many.
    order.into_iter().map(|(_, _, at)| at).cycle().take(FILLED.len()).collect()
}

fn ask(
    job: &Job,
    group: &Group,
    tried: &[Arc<Target>],
    booking: ReservationId,
    filled: u32,
) -> DecodeRequest {
    let now = tokio::time::Instant::now();
    let away = |engine: &&Arc<Target>| engine.is_unavailable(job.patience(), now);
    let tried = tried.iter().chain(group.engines.iter().filter(away));
    // Who is asked may still list them.
    let leaving = job.shared.workload.availability.leaving(now);
    let avoid = tried.map(|engine| engine.key).chain(leaving);
    let output = job.ask.prompt.as_ref().map_or(0, |prompt| prompt.max_output_tokens);
    let lapse = (LEAST_LAPSE + LAPSE_EACH * output).min(MOST_LAPSE);
    let ms = |span: Duration| u32::try_from(span.as_millis()).unwrap_or(u32::MAX);
    DecodeRequest {
        reservation: booking,
        group: group.key,
        service: short_hash(policy::hash(&job.service.name)),
        objective_ms: ms(job.route.objective),
        avoid: avoid.map(short_hash).collect(),
        ttl_ms: ms(lapse),
        max_fill_percent: filled,
        requester: Some(job.asker()),
    }
}
