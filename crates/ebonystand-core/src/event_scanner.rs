/// Incremental parser of a server-sent event stream, which may be split anywhere.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct EventScanner {
    is_done: bool,
    /// First bytes of the current line.
    line: Vec<u8>,
    /// Length of the current line in bytes.
    line_len: usize,
    tokens: u64,
}

impl EventScanner {
    const DATA: &[u8] = b"data:";
    const DONE: &[u8] = b"[DONE]";
    /// Bytes of a line that are kept for comparison; enough for the terminator with its spaces.
    const MAX_COMPARED_LEN: usize = 16;

    /// Returns whether the terminator was seen.
    pub(crate) fn is_done(&self) -> bool {
        self.is_done
    }

    /// Parses more bytes and returns whether a data line ended in them and whether bytes follow the
    /// terminator. Comments and other fields are keep-alives: they show that a proxy is alive, not
    /// that the engine is.
    pub(crate) fn scan(&mut self, bytes: &[u8]) -> ScanResult {
        let tokens = self.tokens;
        let mut has_trailing_bytes = false;
        for &byte in bytes {
            let is_end = matches!(byte, b'\n' | b'\r');
            if is_end {
                self.end_line();
                continue;
            }
            has_trailing_bytes |= self.is_done;
            self.line_len += 1;
            if self.line_len <= Self::MAX_COMPARED_LEN {
                self.line.push(byte);
            }
        }
        ScanResult {
            has_trailing_bytes,
            has_progress: self.tokens > tokens || self.is_done,
        }
    }

    /// Returns the number of data lines before the terminator; an engine sends one per token.
    pub(crate) fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Counts the current line as a token or the terminator if it is a data line.
    fn end_line(&mut self) {
        let data = self.line.strip_prefix(Self::DATA);
        let is_whole = self.line_len <= Self::MAX_COMPARED_LEN;
        match data.map(<[u8]>::trim_ascii) {
            Some(Self::DONE) if is_whole => self.is_done = true,
            Some(_) if !self.is_done => self.tokens += 1,
            Some(_) | None => {}
        }
        self.line.clear();
        self.line_len = 0;
    }
}

/// Result of parsing some bytes with [`EventScanner::scan`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct ScanResult {
    /// Whether bytes follow the terminator.
    pub(crate) has_trailing_bytes: bool,
    /// Whether a token or the terminator arrived.
    pub(crate) has_progress: bool,
}
