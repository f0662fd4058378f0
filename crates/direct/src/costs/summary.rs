//! Sums up what processes logged as paid for, by cause, second and process.
//!
//! Lines are taken one at a time, so that the logs of hundreds of processes need no memory of their
//! size.

use crate::log_search::Fields;
use crate::plot::Series;
use compact_str::CompactString;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// What a cost is summed by.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Cause {
    /// What was paid for, as the event in the log.
    pub event: CompactString,
    /// The kind: the call and stream, the service and step, or the kind of datagram.
    pub kind: CompactString,
    /// The outcome or the reason, where there is one.
    pub reason: CompactString,
}

/// How much was spent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Amount {
    /// The number of calls, connections or datagrams.
    pub count: u64,
    /// Bytes, of datagrams.
    pub bytes: u64,
}

impl Amount {
    fn add(&mut self, other: Self) {
        self.count += other.count;
        self.bytes += other.bytes;
    }
}

/// The sums over all lines so far.
#[derive(Debug, Clone, Default)]
pub struct Summary {
    /// By cause.
    pub causes: BTreeMap<Cause, Amount>,
    /// The events of each second, as the log writes times.
    pub seconds: BTreeMap<(CompactString, CompactString), Amount>,
    /// By process and event.
    pub processes: BTreeMap<(CompactString, CompactString), Amount>,
}

/// The events that are paid for.
const EVENTS: [&str; 4] = ["log called", "log read", "connection opened", "datagrams sent"];

/// The number of processes that the table shows, those that spent most.
const SHOWN_PROCESSES: usize = 5;

impl Summary {
    /// Adds one line of a process's log, if it is one about costs.
    pub fn add_line(&mut self, process: &str, line: &str) {
        let Some(fields) = Fields::parse(line, "costs") else { return };
        let Some(event) = EVENTS.iter().find(|event| fields.is_event(event)) else { return };
        let (kind, reason) = match *event {
            "log called" => (fields.pair("call", "stream"), fields.text("outcome")),
            "log read" => (fields.text("stream"), fields.text("reason")),
            "connection opened" => (fields.pair("service", "step"), CompactString::default()),
            _ => (fields.text("kind"), CompactString::default()),
        };
        let amount = Amount {
            count: fields.number("count").unwrap_or(1),
            bytes: fields.number("bytes").unwrap_or(0),
        };
        let event = CompactString::from(*event);
        self.processes.entry((process.into(), event.clone())).or_default().add(amount);
        self.seconds.entry((fields.second(), event.clone())).or_default().add(amount);
        self.causes.entry(Cause { event, kind, reason }).or_default().add(amount);
    }

    /// Returns the whole amount of an event.
    pub fn total(&self, event: &str) -> Amount {
        let mut total = Amount::default();
        let causes = self.causes.iter().filter(|(cause, _)| cause.event == event);
        causes.for_each(|(_, amount)| total.add(*amount));
        total
    }

    /// Returns the sums as JSON.
    pub fn to_json(&self) -> serde_json::Value {
        let causes = self.causes.iter().map(|(cause, amount)| {
            let Cause { event, kind, reason } = cause;
            let Amount { count, bytes } = amount;
            serde_json::json!({
                "event": event.as_str(), "kind": kind.as_str(), "reason": reason.as_str(),
                "count": count, "bytes": bytes,
            })
        });
        let rows = |rows: &BTreeMap<(CompactString, CompactString), Amount>, name: &str| {
            let rows = rows.iter().map(|((key, event), amount)| {
                serde_json::json!({
                    name: key.as_str(), "event": event.as_str(),
                    "count": amount.count, "bytes": amount.bytes,
                })
            });
            rows.collect::<Vec<_>>()
        };
        serde_json::json!({
            "causes": causes.collect::<Vec<_>>(),
            "seconds": rows(&self.seconds, "second"),
            "processes": rows(&self.processes, "process"),
        })
    }

    /// Returns the count of each event over the seconds that have any, for drawing.
    pub fn series(&self) -> Vec<Series> {
        let seconds: BTreeSet<&CompactString> =
            self.seconds.keys().map(|(second, _)| second).collect();
        let index: BTreeMap<&CompactString, u32> = seconds.into_iter().zip(0..).collect();
        let mut points: BTreeMap<&CompactString, Vec<(u32, u64)>> = BTreeMap::new();
        for ((second, event), amount) in &self.seconds {
            points.entry(event).or_default().push((index[second], amount.count));
        }
        let series = points.into_iter();
        series.map(|(event, points)| Series { label: event.clone(), points }).collect()
    }

    /// The processes that spent most on an event.
    fn largest_spenders(&self, event: &str) -> Vec<(&CompactString, Amount)> {
        let spenders = self.processes.iter().filter(|((_, other), _)| other == event);
        let mut spenders: Vec<_> =
            spenders.map(|((process, _), amount)| (process, *amount)).collect();
        spenders.sort_by_key(|(_, amount)| std::cmp::Reverse(amount.count));
        spenders.truncate(SHOWN_PROCESSES);
        spenders
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "{:<18} {:<34} {:<12} {:>9} {:>11}",
            "event", "kind", "reason", "count", "bytes"
        )?;
        for (cause, amount) in &self.causes {
            let Cause { event, kind, reason } = cause;
            let Amount { count, bytes } = amount;
            writeln!(formatter, "{event:<18} {kind:<34} {reason:<12} {count:>9} {bytes:>11}")?;
        }
        for event in EVENTS {
            let Amount { count, bytes } = self.total(event);
            writeln!(formatter, "{:<18} {:<34} {:<12} {count:>9} {bytes:>11}", event, "all", "")?;
            for (process, amount) in self.largest_spenders(event) {
                let Amount { count, bytes } = amount;
                writeln!(formatter, "{:<18} {process:<34} {:<12} {count:>9} {bytes:>11}", "", "")?;
            }
        }
        Ok(())
    }
}
