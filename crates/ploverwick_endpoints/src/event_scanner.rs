//! Finds the ends of the events in a stream that arrives in pieces.
//!
//! An empty line ends an event (`text/event-stream` of the HTML standard). Lines end with LF, CRLF, or CR alone. A stream
//! that ends inside an event was broken off, however the connection ended.

/// What a piece of a stream contains.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Scan {
    /// The number of events that end in the piece.
    pub events: usize,
    /// The length of the piece up to the end of its last event; `None` if no event ends in it.
    pub end: Option<usize>,
}

/// What was scanned of the current line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Line {
    #[default]
    Empty,
    Text,
}

/// The position in a stream.
#[derive(Debug, Clone, Default)]
pub struct EventScanner {
    /// Whether bytes of the current event were scanned.
    is_inside: bool,
    line: Line,
    /// Whether the last byte was a CR, which may be the first half of a CRLF.
    after_cr: bool,
    /// Whether a LF was scanned. A CR at the end of the stream is then half of a line end.
    uses_lf: bool,
}

impl EventScanner {
    /// Scans the next piece of the stream.
    pub fn scan(&mut self, piece: &[u8]) -> Scan {
        let mut scan = Scan::default();
        for (at, byte) in piece.iter().enumerate() {
            let ended_by_cr = std::mem::take(&mut self.after_cr);
            match byte {
                b'\n' => {
                    self.uses_lf = true;
                    self.end_line(at + 1, &mut scan);
                }
                _ => {
                    if ended_by_cr {
                        self.end_line(at, &mut scan);
                    }
                    self.is_inside = true;
                    self.after_cr = *byte == b'\r';
                    if !self.after_cr {
                        self.line = Line::Text;
                    }
                }
            }
        }
        scan
    }

    /// Returns whether the stream would end inside an event if it ended now.
    pub fn is_inside_event(&self) -> bool {
        let ends_by_cr = self.after_cr && self.line == Line::Empty && !self.uses_lf;
        self.is_inside && !ends_by_cr
    }

    /// Ends a line before the byte `at` of the piece.
    fn end_line(&mut self, at: usize, scan: &mut Scan) {
        if std::mem::take(&mut self.line) == Line::Text {
            return;
        }
        scan.events += usize::from(std::mem::take(&mut self.is_inside));
        scan.end = Some(at);
    }
}
