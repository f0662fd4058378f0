//! Human-readable record of a session: who sent which request and what was received.

use crate::Answer;
use serde_json::Value;
use std::fmt::Write;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::time::Instant;

/// Lines of a session; clones share them.
#[derive(Clone)]
pub struct Transcript {
    begun: Instant,
    text: Arc<Mutex<String>>,
}

impl Transcript {
    /// Starts an empty transcript; its times count from now.
    pub fn begin() -> Self {
        Self { begun: Instant::now(), text: Arc::default() }
    }

    /// Adds a line with the time in seconds since the start.
    pub fn note(&self, who: &str, what: &str) {
        let at = self.begun.elapsed().as_secs_f64();
        let mut text = self.text.lock().unwrap_or_else(PoisonError::into_inner);
        // Writing to a string cannot fail.
        let _ = writeln!(text, "{at:8.1} s  {who}: {what}");
    }

    /// Adds a line that describes a response received by `who`.
    pub fn received(&self, who: &str, answer: &Answer) {
        self.note(who, &describe(answer));
    }

    /// Adds a heading followed by lines without times.
    pub fn section(&self, heading: &str, lines: impl IntoIterator<Item = String>) {
        let mut text = self.text.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = writeln!(text, "\n{heading}");
        for line in lines {
            let _ = writeln!(text, "  {line}");
        }
    }

    /// Returns the text recorded so far.
    pub fn text(&self) -> String {
        self.text.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Describes a response in one line: its status, whether it is complete, and its text or reason.
pub fn describe(answer: &Answer) -> String {
    let cut = if answer.cut { ", CUT" } else { "" };
    let replayed = answer.headers.iter().any(|(name, _)| name == "idempotency-replayed");
    let replayed = if replayed { ", the recorded answer" } else { "" };
    let status = answer.status;
    if let Some((text, events, done)) = streamed(&answer.body) {
        let whole = if done { "whole" } else { "NOT WHOLE" };
        return format!("{status}{cut}, {whole}, {events} events:{}", beginning(&text));
    }
    let body: Value = serde_json::from_str(&answer.body).unwrap_or(Value::Null);
    match (body["reason"].as_str(), body["run"].as_str()) {
        (Some(reason), Some(run)) => format!("{status}{cut}, {reason}, {run}"),
        _ => format!("{status}{cut}{replayed}: {}", answer.body.trim()),
    }
}

/// Shortens a long text to its first words.
fn beginning(text: &str) -> String {
    const WORDS: usize = 8;
    let words: Vec<&str> = text.split(' ').collect();
    if words.len() <= WORDS { text.to_owned() } else { words[..WORDS].join(" ") + " …" }
}

/// Parses a stream of server-sent events: its text, its number of pieces, and whether it has its
/// end marker.
fn streamed(body: &str) -> Option<(String, usize, bool)> {
    let data: Vec<&str> = body.lines().filter_map(|line| line.strip_prefix("data: ")).collect();
    if data.is_empty() {
        return None;
    }
    let done = data.contains(&"[DONE]");
    let chunks = data.iter().filter_map(|line| serde_json::from_str::<Value>(line).ok());
    let pieces: Vec<String> = chunks
        .filter_map(|chunk| {
            let choice = &chunk["choices"][0];
            let text = choice["delta"]["content"].as_str().or(choice["text"].as_str())?;
            (!text.is_empty()).then(|| text.to_owned())
        })
        .collect();
    Some((pieces.concat(), pieces.len(), done))
}
