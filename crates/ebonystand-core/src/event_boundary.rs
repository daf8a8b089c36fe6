/// Finds out whether a server-sent event stream, which may be split anywhere, ends inside an event.
///
/// Callers discard an event that lacks the blank line at its end, so a stream that stops there has
/// broken off, whatever its framing says.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EventBoundary {
    /// Whether the last byte was a carriage return, which a line feed may complete.
    has_carriage_return: bool,
    /// Whether bytes have arrived since the last blank line.
    is_inside: bool,
    /// Whether the current line has bytes.
    is_line_begun: bool,
}

impl EventBoundary {
    /// Parses more bytes of the stream.
    pub fn scan(&mut self, bytes: &[u8]) {
        for &byte in bytes {
            let ends_line = byte == b'\r' || (byte == b'\n' && !self.has_carriage_return);
            if ends_line {
                self.is_inside = self.is_line_begun;
                self.is_line_begun = false;
            } else if byte != b'\n' {
                self.is_inside = true;
                self.is_line_begun = true;
            }
            self.has_carriage_return = byte == b'\r';
        }
    }

    /// Returns whether an event has begun and not ended.
    #[must_use]
    pub fn is_inside_event(&self) -> bool {
        self.is_inside
    }
}
