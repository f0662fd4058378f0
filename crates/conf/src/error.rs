//! Errors of settings and resource files.

use compact_str::CompactString;

/// The result of reading or checking a file.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// An error in a file, with its place.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text is not valid YAML, or a field has the wrong type or an unknown name.
    #[error("{place}: {detail}")]
    Syntax {
        /// Line and path, or only the path if the line isn't known.
        place: CompactString,
        /// The parser's message, with the nearest valid name for a typo.
        detail: String,
    },
    /// A field's value violates a rule.
    #[error("{path}: {detail}")]
    Invalid {
        /// The field's path, such as `spec.domain`.
        path: CompactString,
        /// The rule and the value that violates it.
        detail: String,
    },
}

impl Error {
    /// Creates the error of a value that violates a rule.
    pub fn invalid(path: impl Into<CompactString>, detail: impl Into<String>) -> Self {
        Self::Invalid { path: path.into(), detail: detail.into() }
    }
}
