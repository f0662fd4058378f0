//! Parsing of YAML; errors give the line, the field's path and the nearest valid name.

use crate::document::{self, Document};
use crate::resource::{Adapter, Caller, Kind, Model, Policy, Resource, Target, Version};
use crate::{Error, Name, Result};
use compact_str::format_compact;
use serde::Deserialize;
use serde::de::{DeserializeOwned, IgnoredAny};

/// Parses one YAML document into `T`; unknown fields are errors.
pub fn parse<T: DeserializeOwned>(text: &str) -> Result<T> {
    let document = serde_yaml_ng::Deserializer::from_str(text);
    serde_path_to_error::deserialize(document).map_err(|error| {
        let path = error.path().to_string();
        let inner = error.into_inner();
        let place = match inner.location() {
            Some(at) if path == ROOT => format_compact!("line {}", at.line()),
            Some(at) => format_compact!("line {}, {path}", at.line()),
            None => format_compact!("{path}"),
        };
        Error::Syntax { place, detail: with_nearest(strip_place(&inner.to_string())) }
    })
}

/// The path that `serde_path_to_error` gives for the document itself.
const ROOT: &str = ".";

/// Removes the path and the line from the parser's message; `Error::Syntax` has them in `place`.
fn strip_place(message: &str) -> &str {
    let message = message.rsplit_once(" at line ").map_or(message, |(message, _)| message);
    match message.split_once(": ") {
        Some((path, rest)) if !path.contains([' ', '`']) => rest,
        Some(_) | None => message,
    }
}

/// Parses and checks the resources of a file, which may hold several documents.
///
/// Unlike those of [`Resource::check`], which has only the JSON of a resource, errors give the
/// line of the file.
pub fn resources(text: &str) -> Result<Vec<Resource>> {
    document::split(text).iter().map(resource).collect()
}

/// The kind of a resource; its other fields are ignored.
#[derive(Deserialize)]
struct KindOnly {
    kind: Kind,
}

/// A resource with the spec of its kind, parsed as YAML so that errors in the spec have a line.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Typed<T> {
    #[serde(rename = "kind")]
    _kind: IgnoredAny,
    #[serde(rename = "name")]
    _name: Name,
    #[serde(rename = "spec")]
    _spec: T,
}

fn resource(document: &Document) -> Result<Resource> {
    let text = &document.text;
    match parse::<KindOnly>(text)?.kind {
        Kind::Model => parse::<Typed<Model>>(text).map(drop)?,
        Kind::Adapter => parse::<Typed<Adapter>>(text).map(drop)?,
        Kind::Version => parse::<Typed<Version>>(text).map(drop)?,
        Kind::Target => parse::<Typed<Target>>(text).map(drop)?,
        Kind::Caller => parse::<Typed<Caller>>(text).map(drop)?,
        Kind::Policy => parse::<Typed<Policy>>(text).map(drop)?,
    }
    let resource: Resource = parse(text)?;
    resource.check().map_err(|error| with_line(document, error))?;
    Ok(resource)
}

/// Adds the line to the error of an invalid value, if it can be found.
fn with_line(document: &Document, error: Error) -> Error {
    match error {
        Error::Invalid { path, detail } => match document.line_of(&path) {
            Some(line) => Error::Syntax { place: format_compact!("line {line}, {path}"), detail },
            None => Error::Invalid { path, detail },
        },
        Error::Syntax { .. } => error,
    }
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

/// Finds the candidate most similar to `wrong`, if one is similar enough to be a likely typo.
pub fn nearest<'a>(wrong: &str, candidates: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    /// Below this Jaro-Winkler similarity (0 to 1) a suggestion is more confusing than none.
    const MIN_SIMILARITY: f64 = 0.7;
    candidates
        .map(|name| (strsim::jaro_winkler(wrong, name), name))
        .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, name)| name)
}
