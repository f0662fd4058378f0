//! Splits a YAML file into its documents and keeps the line numbers of the file.

/// One document of a file that may hold several.
pub(crate) struct Document {
    /// The document's text, preceded by an empty line for each line of the file before it, so
    /// that the line numbers of the parser are those of the file.
    pub(crate) text: String,
}

/// Splits a file at its `---` lines; omits documents that hold only comments.
pub(crate) fn split(text: &str) -> Vec<Document> {
    let mut documents = Vec::new();
    let mut current = String::new();
    for (number, line) in text.lines().enumerate() {
        if line.trim_end() == "---" || line.starts_with("--- ") {
            push_unless_empty(&mut documents, std::mem::take(&mut current));
            current = "\n".repeat(number);
            current.push_str(line.strip_prefix("---").unwrap_or_default());
        } else {
            current.push_str(line);
        }
        current.push('\n');
    }
    push_unless_empty(&mut documents, current);
    documents
}

fn push_unless_empty(documents: &mut Vec<Document>, text: String) {
    let has_content = |line: &str| !line.trim().is_empty() && !line.trim().starts_with('#');
    if text.lines().any(has_content) {
        documents.push(Document { text });
    }
}

impl Document {
    /// Finds the line, counted from 1, of the field at `path` below the document's root, if the
    /// field begins a line.
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
