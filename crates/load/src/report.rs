//! Results of a mix, as a table and as JSON.

use crate::client::Client;
use crate::tally::{Quantiles, Reasons, Tally};
use crate::verify::Calls;
use crate::{Mix, Result};
use compact_str::CompactString;
use serde::Serialize;
use std::fmt::Write;
use std::time::Duration;

/// Results of a mix.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Report {
    /// Time from the start to the last answer, or to the end of the wait for it, in seconds.
    pub seconds: f64,
    /// Sum of all classes.
    pub total: Row,
    /// Results of each class.
    pub classes: Vec<Row>,
    /// Requests not sent because too many were open.
    pub overflow: u64,
    /// Verification of the non-repeatable calls, if addresses of services were given.
    pub calls: Option<Calls>,
    /// Events at the engines, if addresses of engines were given.
    pub engines: Option<Engines>,
    /// Results of prompts sent directly to stand-in engines.
    pub direct: Option<Row>,
}

/// Results of one class.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Row {
    /// Name of the class.
    pub class: CompactString,
    /// Requests sent.
    pub sent: u64,
    /// Requests answered completely.
    pub complete: u64,
    /// Of these, requests with the first token within the deadline.
    pub in_deadline: u64,
    /// Complete answers with the first token within the deadline, per second.
    pub good_requests_per_second: f64,
    /// Output tokens per second of these answers.
    pub goodput_tokens_per_second: f64,
    /// Refusals by reason.
    pub refused: Reasons,
    /// Unknown outcomes by reason.
    pub unknown: Reasons,
    /// Answers that broke off, by reason.
    pub cut: Reasons,
    /// Answers that ended normally but were not the complete answer to their own request.
    pub torn: u64,
    /// Requests that reached no entry.
    pub unreachable: u64,
    /// Requests that got no answer.
    pub unanswered: u64,
    /// Number of retries.
    pub retries: u64,
    /// Number of resumed streams.
    pub resumes: u64,
    /// Time to the first token.
    pub first: Quantiles,
    /// Time between tokens.
    pub gaps: Quantiles,
    /// Time to the end.
    pub whole: Quantiles,
}

/// Events at stand-in engines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Engines {
    /// Changes of role that took effect.
    pub role_changes: u64,
    /// Orders that arrived while another was being carried out.
    pub conflicts: u64,
    /// Crashes.
    pub crashes: u64,
}

impl Engines {
    /// Reads and sums the engines' reports.
    pub(crate) async fn read(client: &Client, engines: &[CompactString]) -> Result<Self> {
        let mut all = Self::default();
        for engine in engines {
            let report = client.report(engine).await?;
            let orders = report["orders"].as_array().map(Vec::as_slice).unwrap_or_default();
            let changes = orders.iter().filter(|order| order["order"]["kind"] == "set-role");
            all.role_changes += u64::try_from(changes.count()).unwrap_or(u64::MAX);
            all.conflicts += report["conflicts"].as_u64().unwrap_or_default();
            all.crashes += report["crashes"].as_u64().unwrap_or_default();
        }
        Ok(all)
    }

    /// Events since an earlier reading.
    pub(crate) fn since(self, before: Self) -> Self {
        Self {
            role_changes: self.role_changes.saturating_sub(before.role_changes),
            conflicts: self.conflicts.saturating_sub(before.conflicts),
            crashes: self.crashes.saturating_sub(before.crashes),
        }
    }
}

impl Row {
    fn new(class: &str, tally: &Tally, elapsed: Duration) -> Self {
        let per_second = |count: u64| {
            let count = u32::try_from(count).unwrap_or(u32::MAX);
            f64::from(count) / elapsed.as_secs_f64().max(f64::MIN_POSITIVE)
        };
        Self {
            class: class.into(),
            sent: tally.sent,
            complete: tally.complete,
            in_deadline: tally.in_deadline,
            good_requests_per_second: per_second(tally.in_deadline),
            goodput_tokens_per_second: per_second(tally.tokens),
            refused: tally.refused.clone(),
            unknown: tally.unknown.clone(),
            cut: tally.cut.clone(),
            torn: tally.corrupt,
            unreachable: tally.unreachable,
            unanswered: tally.unanswered,
            retries: tally.retries,
            resumes: tally.resumes,
            first: tally.first.quantiles(),
            gaps: tally.gaps.quantiles(),
            whole: tally.duration.quantiles(),
        }
    }
}

impl Report {
    /// Summarizes a mix that took `elapsed`.
    pub(crate) fn new(mix: &Mix, tallies: &[Tally], elapsed: Duration) -> Self {
        let mut total = Tally::new();
        tallies.iter().for_each(|tally| total.merge(tally));
        // Goodput is relative to the mix's duration; answers received after it, during the settle
        // time, count too.
        let counted = elapsed.min(mix.duration);
        let rows = mix.classes.iter().zip(tallies);
        Self {
            seconds: elapsed.as_secs_f64(),
            total: Row::new("all", &total, counted),
            classes: rows.map(|(class, tally)| Row::new(&class.name, tally, counted)).collect(),
            ..Self::default()
        }
    }

    /// Adds the results of prompts sent directly to stand-in engines.
    pub(crate) fn add_direct(&mut self, tally: &Tally) {
        self.direct = Some(Row::new("direct", tally, Duration::from_secs_f64(self.seconds)));
    }

    /// Whether a guarantee was violated that must hold under all faults: an answer ended normally
    /// but was not the complete answer to its own request, a non-repeatable call ran more than once
    /// or although its response ruled that out, or an order reached an engine while another was
    /// being carried out.
    pub fn is_broken(&self) -> bool {
        let calls = self.calls.clone().unwrap_or_default();
        let conflicts = self.engines.unwrap_or_default().conflicts;
        self.total.torn > 0 || calls.doubled > 0 || calls.ran_though_refused > 0 || conflicts > 0
    }

    /// Formats the report as a human-readable table.
    pub fn table(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = self.write(&mut text);
        text
    }

    fn write(&self, text: &mut String) -> std::fmt::Result {
        writeln!(
            text,
            "{:<12} {:>8} {:>8} {:>8} {:>7} {:>7} {:>5} {:>5} {:>6} {:>9} {:>10} {:>8} {:>8} {:>8}",
            "class",
            "sent",
            "complete",
            "in time",
            "refused",
            "unknown",
            "cut",
            "torn",
            "no ans",
            "good/s",
            "tokens/s",
            "first50",
            "first99",
            "gap99",
        )?;
        let rows = self.classes.iter().chain([&self.total]).chain(&self.direct);
        for row in rows {
            row.write(text)?;
        }
        writeln!(text)?;
        for (what, reasons) in [
            ("refused", &self.total.refused),
            ("unknown", &self.total.unknown),
            ("cut", &self.total.cut),
        ] {
            for (reason, count) in reasons {
                writeln!(text, "{what}: {reason} {count}")?;
            }
        }
        let Row { retries, resumes, .. } = self.total;
        writeln!(text, "sent again {retries}, streams resumed {resumes}")?;
        writeln!(text, "not sent for too many open {}, {:.1} s", self.overflow, self.seconds)?;
        self.write_rest(text)
    }

    fn write_rest(&self, text: &mut String) -> std::fmt::Result {
        if let Some(calls) = &self.calls {
            writeln!(
                text,
                "calls that may not be repeated {}: doubled {}, ran though refused {}, answered \
                 but not run {}, unknown that ran {}, unknown that did not {}",
                calls.sent,
                calls.doubled,
                calls.ran_though_refused,
                calls.answered_not_run,
                calls.unknown_ran,
                calls.unknown_not_run,
            )?;
        }
        if let Some(engines) = &self.engines {
            let Engines { role_changes, conflicts, crashes } = engines;
            writeln!(
                text,
                "engines: role changes {role_changes}, conflicting orders {conflicts}, \
                 crashes {crashes}"
            )?;
        }
        if let Some(direct) = &self.direct {
            let added = |ours: f64, theirs: f64| ours - theirs;
            let (ours, theirs) = (self.total.whole, direct.whole);
            writeln!(
                text,
                "added by entry and agent, whole answers: median {:.3} ms, 99th {:.3} ms",
                added(ours.p50_ms, theirs.p50_ms),
                added(ours.p99_ms, theirs.p99_ms),
            )?;
        }
        Ok(())
    }
}

impl Row {
    fn write(&self, text: &mut String) -> std::fmt::Result {
        let sum = |reasons: &Reasons| reasons.values().sum::<u64>();
        writeln!(
            text,
            "{:<12} {:>8} {:>8} {:>8} {:>7} {:>7} {:>5} {:>5} {:>6} {:>9.1} {:>10.1} {:>8.2} {:>8.2} {:>8.2}",
            self.class,
            self.sent,
            self.complete,
            self.in_deadline,
            sum(&self.refused),
            sum(&self.unknown),
            sum(&self.cut),
            self.torn,
            self.unreachable + self.unanswered,
            self.good_requests_per_second,
            self.goodput_tokens_per_second,
            self.first.p50_ms,
            self.first.p99_ms,
            self.gaps.p99_ms,
        )
    }
}
