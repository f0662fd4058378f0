//! Names in what targets and the log send that no decoder knows: the first sign that something new is said.

use compact_str::{CompactString, format_compact};
use std::collections::BTreeSet;
use std::sync::{Mutex, PoisonError};

/// Names that are told; of more, nothing is.
const MAX_NAMES: usize = 64;

/// Characters of a name or a value that are told.
const MAX_TEXT: usize = 64;

/// Parts of names whose values may be secret.
const SECRET: [&str; 6] = ["auth", "cookie", "credential", "key", "secret", "token"];

static SEEN: Mutex<BTreeSet<CompactString>> = Mutex::new(BTreeSet::new());

/// Tells of a name that no decoder knows, once in the life of the process; `place` is where it stood.
pub fn note(place: &'static str, name: &str, value: Option<&[u8]>) {
    let name = cut(name);
    let mut seen = SEEN.lock().unwrap_or_else(PoisonError::into_inner);
    if seen.len() >= MAX_NAMES || !seen.insert(format_compact!("{place} {name}")) {
        return;
    }
    drop(seen);
    let lower = name.to_ascii_lowercase();
    let is_secret = SECRET.iter().any(|part| lower.contains(part));
    let value =
        value.filter(|_| !is_secret).map(CompactString::from_utf8_lossy).unwrap_or_default();
    log::warn!(target: "unknown", place, name = name.as_str(), value = cut(&value).as_str();
        "name not known");
}

/// How many names were told.
pub fn count() -> usize {
    SEEN.lock().unwrap_or_else(PoisonError::into_inner).len()
}

fn cut(text: &str) -> CompactString {
    text.chars().take(MAX_TEXT).collect()
}
