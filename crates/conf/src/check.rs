//! Parsing of YAML with errors that help: place, path and the nearest valid name.

use crate::{Error, Result};
use compact_str::format_compact;
use serde::de::DeserializeOwned;

/// Parses one YAML document into `T`; unknown fields are errors.
pub fn parse<T: DeserializeOwned>(text: &str) -> Result<T> {
    let document = serde_yaml_ng::Deserializer::from_str(text);
    serde_path_to_error::deserialize(document).map_err(|error| {
        let path = error.path().to_string();
        let inner = error.into_inner();
        let place = match inner.location() {
            Some(at) => format_compact!("line {}, {path}", at.line()),
            None => format_compact!("{path}"),
        };
        Error::Syntax { place, detail: with_nearest(&inner.to_string()) }
    })
}

/// Appends the nearest valid name to serde's message about an unknown field or variant.
fn with_nearest(message: &str) -> String {
    let mut quoted = message.split('`').skip(1).step_by(2);
    let (true, Some(wrong)) = (message.starts_with("unknown"), quoted.next()) else {
        return message.to_owned();
    };
    match nearest(wrong, quoted) {
        Some(name) => format!("{message}; did you mean `{name}`?"),
        None => message.to_owned(),
    }
}

/// Finds the candidate most like `wrong`, if any is alike enough to be meant.
pub fn nearest<'a>(wrong: &str, candidates: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    /// Below this likeness (0 to 1) a suggestion is more confusing than none.
    const ALIKE: f64 = 0.7;
    candidates
        .map(|name| (strsim::jaro_winkler(wrong, name), name))
        .filter(|(likeness, _)| *likeness >= ALIKE)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, name)| name)
}
