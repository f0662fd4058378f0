//! The boundaries of server-sent events, see the
//! [standard](https://html.spec.whatwg.org/multipage/server-sent-events.html#parsing-an-event-stream).
//!
//! A line ends with LF, CR, or both; an event ends with an empty line. Comments, which begin with a
//! colon, belong to no event.

/// Where a stream has arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Position {
    /// All events so far are whole.
    #[default]
    Boundary,
    /// In an event or a line whose end has not arrived.
    WithinEvent,
}

/// Finds the boundaries of events in a stream that arrives in pieces.
#[derive(Debug, Clone, Default)]
pub struct EventScanner {
    line: Line,
    /// Whether the current event has a field.
    has_field: bool,
    /// Whether the last byte was a CR, so that a LF belongs to the same line end.
    after_cr: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Line {
    #[default]
    Empty,
    Comment,
    Field,
}

impl EventScanner {
    /// Scans the next piece. Returns the length of its part up to the last boundary, 0 if none of it
    /// ends an event.
    pub fn scan(&mut self, bytes: &[u8]) -> usize {
        let mut boundary = 0;
        for (at, byte) in bytes.iter().enumerate() {
            self.step(*byte);
            if self.position() == Position::Boundary {
                boundary = at + 1;
            }
        }
        boundary
    }

    /// Returns the position after the last piece.
    pub fn position(&self) -> Position {
        if self.line == Line::Empty && !self.has_field {
            Position::Boundary
        } else {
            Position::WithinEvent
        }
    }

    fn step(&mut self, byte: u8) {
        let after_cr = std::mem::replace(&mut self.after_cr, byte == b'\r');
        match (byte, self.line) {
            (b'\n', _) if after_cr => {}
            (b'\n' | b'\r', Line::Empty) => self.has_field = false,
            (b'\n' | b'\r', line) => {
                self.has_field |= line == Line::Field;
                self.line = Line::Empty;
            }
            (b':', Line::Empty) => self.line = Line::Comment,
            (_, Line::Empty) => self.line = Line::Field,
            (_, Line::Comment | Line::Field) => {}
        }
    }
}
