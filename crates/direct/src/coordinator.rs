//! Decides for the other entries which engine of a group reads a prompt or writes an output, see
//! [`policy::groups`].
//!
//! What it grants it books, so its view of an engine's queue is as old as the way to the entry that
//! was granted. It answers whoever asks, whether or not it holds itself responsible: two that both
//! coordinate a group for a moment make a queue longer than meant, and break nothing.

mod permits;
mod reading;
mod writing;

use crate::datagram::short;
use crate::groups::Group;
use crate::question::{Answer, Report, Word};
use crate::route::Service;
use crate::shared::Shared;
use crate::target::{Target, Way};
use policy::Hash;
use policy::bookings::Bookings;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

pub use permits::{Permits, hear as hear_limit};

/// What this entry has granted.
#[derive(Debug)]
pub struct Coordinator {
    inner: Mutex<Inner>,
    /// Permits for requests to targets that named a limit.
    pub permits: Permits,
    started: Instant,
}

#[derive(Debug, Default)]
struct Inner {
    /// Prompts to be read, by engine.
    engines: HashMap<Hash, Bookings>,
    /// Streams, by engine.
    places: HashMap<Hash, Bookings>,
    /// When each group was first asked for here.
    since: HashMap<Hash, Instant>,
}

/// For how long after the first question an entry also goes by what the others say of their work: it
/// knows nothing yet of what another has granted, and a queue is read within this time.
const NEW: Duration = Duration::from_millis(500);

/// Engines and groups that are remembered; those that are gone are forgotten with all others.
const MAX_REMEMBERED: usize = 4_096;

/// An engine that has work counts as away when it has said nothing for so many times what a first
/// answer may take.
const SILENCE: u32 = 3;

impl Default for Coordinator {
    fn default() -> Self {
        let (inner, permits) = (Mutex::default(), Permits::default());
        Self { inner, permits, started: Instant::now() }
    }
}

impl Coordinator {
    /// Tokens that wait to be read at an engine as far as this entry granted them.
    pub fn waiting(&self, engine: Hash, now: Instant) -> u64 {
        let time = self.time(now);
        let mut inner = self.lock();
        inner.engines.get_mut(&engine).map_or(0, |bookings| bookings.waiting(time))
    }

    fn is_new(&self, group: Hash, now: Instant) -> bool {
        let mut inner = self.lock();
        if inner.since.len() >= MAX_REMEMBERED {
            inner.since.clear();
        }
        now.duration_since(*inner.since.entry(group).or_insert(now)) < NEW
    }

    fn book(&self, engine: Hash, booking: u64, tokens: u64, now: Instant) {
        let time = self.time(now);
        let mut inner = self.lock();
        if inner.engines.len() >= MAX_REMEMBERED {
            inner.engines.clear();
        }
        inner.engines.entry(engine).or_default().book(booking, tokens, time);
    }

    /// Streams at an engine as far as this entry granted them.
    pub fn streams(&self, engine: Hash, now: Instant) -> u32 {
        let time = self.time(now);
        let mut inner = self.lock();
        let streams = inner.places.get_mut(&engine).map_or(0, |places| places.waiting(time));
        u32::try_from(streams).unwrap_or(u32::MAX)
    }

    fn book_place(&self, engine: Hash, booking: u64, span: Duration, now: Instant) {
        let time = self.time(now);
        let mut inner = self.lock();
        if inner.places.len() >= MAX_REMEMBERED {
            inner.places.clear();
        }
        inner.places.entry(engine).or_default().book_for(booking, 1, time, span);
    }

    fn end(&self, engine: Hash, booking: u64) {
        let inner = &mut *self.lock();
        for engines in [&mut inner.engines, &mut inner.places] {
            if let Some(bookings) = engines.get_mut(&engine) {
                bookings.end(booking);
            }
        }
    }

    fn time(&self, now: Instant) -> policy::Time {
        now.saturating_duration_since(self.started)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Answers a question; `None` if it is none, or its group or service is not known here.
pub fn answer(shared: &Shared, question: &Word) -> Option<Answer> {
    match question {
        Word::Ask(ask) => reading::decide(shared, ask),
        Word::Place(ask) => writing::decide(shared, ask),
        Word::Permit(ask) => Some(permits::decide(shared, ask)),
        Word::Answer(_)
        | Word::Report(_)
        | Word::News(_)
        | Word::Lack(_)
        | Word::Used(_)
        | Word::Billed(_)
        | Word::Limit(_) => None,
    }
}

fn service(shared: &Shared, key: u32) -> Option<Arc<Service>> {
    let table = shared.table.borrow().clone()?;
    let mut services = table.services();
    services.find(|service| short(policy::hash(&service.name)) == key).cloned()
}

/// Takes in what became of a prompt.
pub fn take(shared: &Shared, report: &Report) {
    let engines = shared.fleet().engines();
    let engine = engines.iter().find(|engine| short(engine.key) == report.engine);
    // One that is gone, or that is not yet listed here.
    let Some(engine) = engine else { return };
    shared.coordinator.end(engine.key, report.booking);
    if let Some(kept) = &report.kept {
        engine.engine.keep(&kept.rows(), room(shared, engine));
    }
    if let Some(moved) = &report.moved {
        let (now, took) = (Instant::now(), Duration::from_micros(moved.took_us));
        engine.handed_over(Way::In, took, now);
        if let Some(from) = engines.iter().find(|engine| short(engine.key) == moved.from) {
            from.handed_over(Way::Out, took, now);
        }
    }
    if report.failed && !engine.is_away(Duration::MAX, Instant::now()) {
        // One refused connection seen here keeps all entries away from an engine that crashed.
        let engine = engine.clone();
        tokio::spawn(async move {
            engine.still_listens().await;
        });
    }
}

/// How many tokens this entry may believe an engine to keep. Of one that others coordinate it hears
/// only about prompts that ask its own groups first, about as large a part as these are of all groups:
/// what pushes the rest out it does not hear.
fn room(shared: &Shared, engine: &Target) -> u64 {
    let memory = shared.room(&engine.service);
    let groups = shared.groups(&engine.service);
    let ours = |group: &&Group| group.coordinators.iter().any(|member| member.address.is_none());
    let listed = |group: &Group| group.engines.iter().any(|other| other.key == engine.key);
    if groups.iter().filter(ours).any(listed) {
        return memory;
    }
    let count = |number: usize| u64::try_from(number).unwrap_or(u64::MAX);
    memory * count(groups.iter().filter(ours).count()) / count(groups.len()).max(1)
}
