//! Searches the log files of several processes.
//!
//! A line is one event with `key=value` pairs, of which the first is `timestamp`. In lines that
//! begin with something else, such as a collector's prefix, everything before the first
//! `timestamp=` is ignored.

use compact_str::{CompactString, ToCompactString, format_compact};
use std::str::FromStr;

/// Modules whose lines report changes of the state that a process observes, not what it did for a
/// request.
const STATE_MODULES: [&str; 8] =
    ["config", "fleet", "stages", "store", "bulletin", "peers", "process", "unknown"];

/// The log of one process, with the name under which it is shown.
#[derive(Debug, Clone, Copy)]
pub struct Source<'a> {
    /// The name.
    pub name: &'a str,
    /// The text.
    pub text: &'a str,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Line<'a> {
    time: &'a str,
    source: &'a str,
    text: &'a str,
}

/// Returns one request's lines from all processes, in order. Each process's first line is preceded
/// by the state that it had observed by then: its configuration, and the last line on each target
/// that the request's lines name.
pub fn request(id: &str, sources: &[Source<'_>]) -> Vec<String> {
    let mut found = Vec::new();
    for source in sources {
        let all: Vec<Line<'_>> = lines(*source).collect();
        let ours: Vec<_> = all.iter().filter(|line| value(line.text, "id") == Some(id)).collect();
        let Some(first) = ours.first() else { continue };
        let named: String = ours.iter().map(|line| line.text).collect();
        let before = all.iter().take_while(|line| line.time <= first.time);
        for change in state_before(before, &named) {
            found.push((first.time, source.name, 0, format!("believed {}", format_line(change))));
        }
        found.extend(ours.iter().map(|line| (line.time, source.name, 1, format_line(line))));
    }
    found.sort();
    found.into_iter().map(|(_, source, _, text)| format!("{source} {text}")).collect()
}

/// Returns the state changes that the processes logged from `from` to `to`, both as the log writes
/// times, in order.
pub fn state_changes(from: &str, to: &str, sources: &[Source<'_>]) -> Vec<String> {
    let all = sources.iter().flat_map(|source| lines(*source));
    let span = all.filter(|line| line.time >= from && line.time <= to);
    let mut changes: Vec<_> = span.filter(|line| is_state_change(line.text)).collect();
    changes.sort();
    changes.iter().map(|line| format!("{} {}", line.source, format_line(line))).collect()
}

/// Returns the configuration in force, and the last line on each target that `named` contains.
fn state_before<'a>(before: impl Iterator<Item = &'a Line<'a>>, named: &str) -> Vec<&'a Line<'a>> {
    let mut last: Vec<(CompactString, &Line<'_>)> = Vec::new();
    for line in before.filter(|line| is_state_change(line.text)) {
        let subject = match (value(line.text, "module"), value(line.text, "target_id")) {
            (Some("config"), _) => "config",
            (Some("fleet"), Some(target)) if named.contains(target) => target,
            (Some("store"), _) => "store",
            _ => continue,
        };
        last.retain(|(known, _)| known != subject);
        last.push((subject.into(), line));
    }
    last.into_iter().map(|(_, line)| line).collect()
}

fn lines<'a>(source: Source<'a>) -> impl Iterator<Item = Line<'a>> {
    source.text.lines().filter_map(move |line| {
        let text = &line[line.find("timestamp=")?..];
        Some(Line { time: value(text, "timestamp")?, source: source.name, text })
    })
}

fn is_state_change(text: &str) -> bool {
    value(text, "module").is_some_and(|module| STATE_MODULES.contains(&module))
}

/// Formats a line without the fields that don't help the reader.
fn format_line(line: &Line<'_>) -> String {
    let rest = line.text.split_once(" module=").map_or(line.text, |(_, rest)| rest);
    let (module, rest) = rest.split_once(' ').unwrap_or((rest, ""));
    let rest = match rest.strip_prefix("position=") {
        Some(rest) => rest.split_once(' ').map_or("", |(_, rest)| rest),
        None => rest,
    };
    format!("{} {module}: {rest}", line.time)
}

/// Returns the value of a key, without quotes.
pub(crate) fn value<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let mut from = 0;
    loop {
        let at = from + text[from..].find(key)?;
        let after = &text[at + key.len()..];
        let starts = at == 0 || text[..at].ends_with(' ');
        if let Some(value) = after.strip_prefix('=').filter(|_| starts) {
            let quoted = value.strip_prefix('"').and_then(|value| value.split('"').next());
            return quoted.or_else(|| value.split(' ').next());
        }
        from = at + key.len();
    }
}

/// The fields of one line.
pub(crate) struct Fields<'a>(&'a str);

impl<'a> Fields<'a> {
    /// Parses a line of `module`, and ignores what a collector wrote before the line itself; `None`
    /// for lines of other modules.
    pub(crate) fn parse(line: &'a str, module: &str) -> Option<Self> {
        let text = &line[line.find("timestamp=")?..];
        let fields = Self(text);
        (fields.get("module") == Some(module)).then_some(fields)
    }

    pub(crate) fn get(&self, key: &str) -> Option<&'a str> {
        value(self.0, key)
    }

    /// Whether the line reports this event, whose name has a space and is therefore quoted.
    pub(crate) fn is_event(&self, event: &str) -> bool {
        self.0.contains(&format!("\"{event}\""))
    }

    /// The value of a key; empty if the line lacks it.
    pub(crate) fn text(&self, key: &str) -> CompactString {
        self.get(key).unwrap_or_default().to_compact_string()
    }

    pub(crate) fn pair(&self, first: &str, second: &str) -> CompactString {
        format_compact!("{} {}", self.text(first), self.text(second))
    }

    /// The value of a key as a number; `None` if the line lacks it or it is no number.
    pub(crate) fn number<T: FromStr>(&self, key: &str) -> Option<T> {
        self.get(key)?.parse().ok()
    }

    /// The time without the fraction of the second.
    pub(crate) fn second(&self) -> CompactString {
        let time = self.get("timestamp").unwrap_or_default();
        time.split('.').next().unwrap_or(time).into()
    }
}
