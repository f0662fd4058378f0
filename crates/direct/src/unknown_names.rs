//! Reports names from targets and the log that no decoder knows: the first sign of a new field or
//! header.

use compact_str::{CompactString, format_compact};
use std::collections::BTreeSet;
use std::sync::{Mutex, PoisonError};

/// Upper bound on the names that are reported; further ones are ignored.
const MAX_NAMES: usize = 64;

/// Characters of a name or a value that are logged.
const MAX_TEXT: usize = 64;

/// Parts of names whose values may be secret.
const SECRET_PARTS: [&str; 6] = ["auth", "cookie", "credential", "key", "secret", "token"];

static SEEN: Mutex<BTreeSet<CompactString>> = Mutex::new(BTreeSet::new());

/// Reports a name that no decoder knows, once per process. `place` is where it was found.
pub fn report(place: &'static str, name: &str, value: Option<&[u8]>) {
    let name = truncate(name);
    let mut seen = SEEN.lock().unwrap_or_else(PoisonError::into_inner);
    if seen.len() >= MAX_NAMES || !seen.insert(format_compact!("{place} {name}")) {
        return;
    }
    drop(seen);
    let lower = name.to_ascii_lowercase();
    let is_secret = SECRET_PARTS.iter().any(|part| lower.contains(part));
    let value =
        value.filter(|_| !is_secret).map(CompactString::from_utf8_lossy).unwrap_or_default();
    log::warn!(target: "unknown", place, name = name.as_str(), value = truncate(&value).as_str();
        "name not known");
}

/// The number of names that were reported.
pub fn count() -> usize {
    SEEN.lock().unwrap_or_else(PoisonError::into_inner).len()
}

fn truncate(text: &str) -> CompactString {
    text.chars().take(MAX_TEXT).collect()
}
