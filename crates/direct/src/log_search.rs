//! Searches in the log files of several processes.
//!
//! A line is one event with `key=value` pairs, of which the first is `timestamp`. Lines that begin
//! with something else, such as a collector's own prefix, are read from the first `timestamp=` on.

use compact_str::CompactString;

/// Modules whose lines tell what a process believes, not what it did for a request.
const BELIEFS: [&str; 8] =
    ["config", "fleet", "stages", "store", "bulletin", "peers", "process", "unknown"];

/// The text of one process's log, with the name it is shown under.
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

/// One request's lines over all processes, in order, each process's first preceded by what it
/// believed at that time: its configuration, and the last word on each target that the lines name.
pub fn request(id: &str, sources: &[Source<'_>]) -> Vec<String> {
    let mut told = Vec::new();
    for source in sources {
        let all: Vec<Line<'_>> = lines(*source).collect();
        let ours: Vec<_> = all.iter().filter(|line| value(line.text, "id") == Some(id)).collect();
        let Some(first) = ours.first() else { continue };
        let named: String = ours.iter().map(|line| line.text).collect();
        let before = all.iter().take_while(|line| line.time <= first.time);
        for belief in beliefs_before(before, &named) {
            told.push((first.time, source.name, 0, format!("believed {}", show(belief))));
        }
        told.extend(ours.iter().map(|line| (line.time, source.name, 1, show(line))));
    }
    told.sort();
    told.into_iter().map(|(_, source, _, text)| format!("{source} {text}")).collect()
}

/// What the processes came to believe from `from` to `to`, both as the log writes times, in order.
pub fn state_changes(from: &str, to: &str, sources: &[Source<'_>]) -> Vec<String> {
    let all = sources.iter().flat_map(|source| lines(*source));
    let span = all.filter(|line| line.time >= from && line.time <= to);
    let mut changes: Vec<_> = span.filter(|line| is_belief(line.text)).collect();
    changes.sort();
    changes.iter().map(|line| format!("{} {}", line.source, show(line))).collect()
}

/// The configuration in force, and the last line on each target that `named` contains.
fn beliefs_before<'a>(
    before: impl Iterator<Item = &'a Line<'a>>,
    named: &str,
) -> Vec<&'a Line<'a>> {
    let mut last: Vec<(CompactString, &Line<'_>)> = Vec::new();
    for line in before.filter(|line| is_belief(line.text)) {
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

fn is_belief(text: &str) -> bool {
    value(text, "module").is_some_and(|module| BELIEFS.contains(&module))
}

/// The line without what a reader of a story has no use for.
fn show(line: &Line<'_>) -> String {
    let rest = line.text.split_once(" module=").map_or(line.text, |(_, rest)| rest);
    let (module, rest) = rest.split_once(' ').unwrap_or((rest, ""));
    let rest = match rest.strip_prefix("position=") {
        Some(rest) => rest.split_once(' ').map_or("", |(_, rest)| rest),
        None => rest,
    };
    format!("{} {module}: {rest}", line.time)
}

/// The value of a key, without quotes.
fn value<'a>(text: &'a str, key: &str) -> Option<&'a str> {
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
