//! How long requests waited, by the line that each of them logs when it ends. The lines are summed
//! up by the `waits` command, see [`summary`].

pub mod summary;
pub mod table;

use crate::log_search::{self, Fields};
use jiff::Timestamp;
use std::time::Duration;

/// The events that report the end of a request.
const EVENTS: [&str; 2] = ["request served", "request not served"];

/// The message of the line in which a process reports how many lines it dropped. The line has no
/// timestamp.
const LINES_DROPPED: &str = "message=\"lines dropped\"";

/// Outcomes after which a request may have run. All others of requests that were not served are
/// refusals, which guarantee that it has not.
const FAILURES: [&str; 6] = ["lost", "late", "broken-off", "time-up", "not-resumed", "caller-left"];

/// The outcome of a request whose response was forwarded whole.
const COMPLETE: &str = "complete";

/// The outcome shown for a request whose response was forwarded whole and reports a failure.
const TARGET_FAILED: &str = "target-failed";

/// Seconds since the Unix epoch.
pub type Second = i64;

/// What one line says.
#[derive(Debug, Clone, PartialEq)]
pub enum Line<'a> {
    /// A request has ended.
    Ended(EndedRequest<'a>),
    /// A request has ended, but the line is cut off or lacks fields.
    Unreadable,
    /// The process dropped this many lines, of any event.
    Dropped(u64),
    /// Something else.
    Other,
}

/// A request that has ended.
#[derive(Debug, Clone, PartialEq)]
pub struct EndedRequest<'a> {
    /// Its route.
    pub route: &'a str,
    /// The second in which it arrived.
    pub arrived: Second,
    /// How it ended.
    pub verdict: Verdict,
    /// The outcome behind the verdict.
    pub outcome: &'a str,
    /// Milliseconds that prefill engines took, over all attempts.
    pub prefill_ms: Option<f32>,
    /// Milliseconds from the dispatch of the decode attempt to the first piece or, without one, to
    /// the end of the wait for it.
    pub slot_ms: Option<f32>,
    /// Milliseconds to the first piece that were spent neither at a prefill engine nor at the
    /// decode engine.
    pub network_ms: Option<f32>,
    /// Milliseconds of `slot_ms` that the transfer of the KV cache was expected to take.
    pub transfer_ms: Option<f32>,
    /// Milliseconds of queue and prefill after which the first piece was promised in time.
    pub promised_ms: Option<f32>,
    /// The longest pause between its pieces, if it had more than one.
    pub pause: Option<Pause<'a>>,
}

/// The longest pause of a stream.
#[derive(Debug, Clone, PartialEq)]
pub struct Pause<'a> {
    /// The target that it came from.
    pub target: &'a str,
    /// Its length in milliseconds.
    pub ms: f32,
    /// Whether it exceeded the route's limit.
    pub is_late: bool,
    /// Streams at the target at its end.
    pub streams: f32,
    /// Prompts that the entry had in prefill there during it.
    pub prompts: f32,
}

/// How a request ended. Each request has one verdict.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Served within its objective and its pause limit.
    InTime,
    /// Served, with the first piece after its objective.
    LateFirst,
    /// Served with a first piece in time, and then with a pause over its limit.
    LatePause,
    /// Not run.
    Refused,
    /// Not served, though it may have run, or served with a failure of the target.
    Failed,
}

impl<'a> Line<'a> {
    /// Parses a line, which may begin with a collector's prefix.
    pub fn parse(line: &'a str) -> Self {
        if line.contains(LINES_DROPPED) {
            let count = log_search::value(line, "count").and_then(|count| count.parse().ok());
            return count.map_or(Self::Other, Self::Dropped);
        }
        let fields = Fields::parse(line, "request");
        match fields.filter(|fields| EVENTS.iter().any(|event| fields.is_event(event))) {
            Some(fields) => EndedRequest::parse(&fields).map_or(Self::Unreadable, Self::Ended),
            None => Self::Other,
        }
    }
}

impl<'a> EndedRequest<'a> {
    fn parse(fields: &Fields<'a>) -> Option<Self> {
        let ended: Timestamp = fields.number("timestamp")?;
        let ms: f64 = fields.number("ms")?;
        let arrived = ended.checked_sub(Duration::try_from_secs_f64(ms / 1e3).ok()?).ok()?;
        let attempts = Attempts(fields.get("targets")?);
        // The last field of the line: without it, the line is cut off.
        let max_gap = duration(fields, "max_gap_ms")?;
        let pause = Pause::parse(fields, max_gap);
        let outcome = match fields.get("outcome")? {
            COMPLETE if attempts.last_failed() => TARGET_FAILED,
            outcome => outcome,
        };
        Some(Self {
            route: fields.get("route")?,
            arrived: arrived.as_second(),
            verdict: verdict(fields, outcome, pause.as_ref())?,
            outcome,
            prefill_ms: attempts.prefill_ms(),
            slot_ms: duration(fields, "slot_ms")?.or_else(|| attempts.late_decode_ms()),
            network_ms: optional(fields, "network_ms"),
            transfer_ms: optional(fields, "transfer_ms"),
            promised_ms: optional(fields, "promised_ms"),
            pause,
        })
    }
}

impl<'a> Pause<'a> {
    fn parse(fields: &Fields<'a>, limit: Option<f32>) -> Option<Self> {
        let ms = duration(fields, "gap_ms")??;
        Some(Self {
            target: fields.get("gap_target")?,
            ms,
            is_late: limit.is_some_and(|limit| ms > limit),
            streams: fields.number("gap_streams")?,
            prompts: fields.number("gap_prompts")?,
        })
    }
}

impl Verdict {
    /// The verdict on a request that was not served, by its outcome.
    pub fn of_failure(outcome: &str) -> Self {
        let failed = outcome == TARGET_FAILED || FAILURES.contains(&outcome);
        if failed { Self::Failed } else { Self::Refused }
    }
}

fn verdict(fields: &Fields<'_>, outcome: &str, pause: Option<&Pause<'_>>) -> Option<Verdict> {
    if outcome != COMPLETE {
        return Some(Verdict::of_failure(outcome));
    }
    // A response without a body has no piece.
    let first_ms = duration(fields, "first_ms")?.or(duration(fields, "ms")?);
    let objective_ms = duration(fields, "objective_ms")??;
    Some(match pause {
        _ if first_ms.is_some_and(|first_ms| first_ms > objective_ms) => Verdict::LateFirst,
        Some(pause) if pause.is_late => Verdict::LatePause,
        _ => Verdict::InTime,
    })
}

/// A duration in milliseconds, which is negative where there was none; the outer `None` if the line
/// lacks it.
fn duration(fields: &Fields<'_>, key: &str) -> Option<Option<f32>> {
    let ms: f32 = fields.number(key)?;
    Some((ms >= 0.0).then_some(ms))
}

/// A duration in milliseconds; `None` also if the line is of a build that doesn't log it.
fn optional(fields: &Fields<'_>, key: &str) -> Option<f32> {
    duration(fields, key).flatten()
}

/// The attempts of a request, such as `read:i-1:ok:12,write:i-2:ok:5`.
struct Attempts<'a>(&'a str);

impl<'a> Attempts<'a> {
    /// The step, the outcome and the milliseconds of each.
    fn iter(&self) -> impl DoubleEndedIterator<Item = (&'a str, &'a str, f32)> {
        self.0.split(',').filter_map(|attempt| {
            let (step, rest) = attempt.split_once(':')?;
            let (rest, ms) = rest.rsplit_once(':')?;
            let (_, outcome) = rest.rsplit_once(':')?;
            Some((step, outcome, ms.parse().ok()?))
        })
    }

    fn prefill_ms(&self) -> Option<f32> {
        let prefills = self.iter().filter(|(step, ..)| *step == "read");
        prefills.map(|(_, _, ms)| ms).reduce(|sum, ms| sum + ms)
    }

    /// How long a decode attempt without a response was waited for.
    fn late_decode_ms(&self) -> Option<f32> {
        let mut late =
            self.iter().filter(|(step, outcome, _)| *step == "write" && *outcome == "late");
        late.next_back().map(|(_, _, ms)| ms)
    }

    fn last_failed(&self) -> bool {
        self.iter().next_back().is_some_and(|(_, outcome, _)| outcome == "failed")
    }
}
