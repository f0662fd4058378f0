//! The documents of a YAML file, each with the line at which it begins.

/// One document of a file that may hold several.
pub(crate) struct Document {
    /// The document's text with an empty line for each line before it, so that a parser counts
    /// lines as the file's reader does.
    pub(crate) text: String,
}

/// Splits a file at its `---` lines; documents with nothing but comments are left out.
pub(crate) fn split(text: &str) -> Vec<Document> {
    let mut documents = Vec::new();
    let mut current = String::new();
    for (number, line) in text.lines().enumerate() {
        if line.trim_end() == "---" || line.starts_with("--- ") {
            keep(&mut documents, std::mem::take(&mut current));
            current = "\n".repeat(number);
            current.push_str(line.strip_prefix("---").unwrap_or_default());
        } else {
            current.push_str(line);
        }
        current.push('\n');
    }
    keep(&mut documents, current);
    documents
}

fn keep(documents: &mut Vec<Document>, text: String) {
    let says_something = |line: &str| !line.trim().is_empty() && !line.trim().starts_with('#');
    if text.lines().any(says_something) {
        documents.push(Document { text });
    }
}

impl Document {
    /// The line, from 1, of the field at `path` below the document's root, if it stands on a line
    /// of its own.
    pub(crate) fn line_of(&self, path: &str) -> Option<usize> {
        let mut at = 0;
        for part in path.split('.') {
            let key = part.split('[').next().unwrap_or(part);
            let rest = self.text.lines().enumerate().skip(at);
            let found = rest.into_iter().find(|(_, line)| is_field(line, key));
            at = found?.0 + 1;
        }
        Some(at)
    }
}

fn is_field(line: &str, key: &str) -> bool {
    let field = line.trim_start().strip_prefix(key);
    field.is_some_and(|rest| rest.trim_start().starts_with(':'))
}
