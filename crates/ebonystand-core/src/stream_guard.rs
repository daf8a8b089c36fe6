use super::*;

/// Watches one upstream answer for silence, its end and its deadline.
///
/// A connection that a middlebox has dropped from its state stays open and silent forever, and an
/// engine that dies can end a stream that appears complete. Only the guard's verdict may end an
/// answer towards the caller.
#[derive(Clone, Debug)]
pub struct StreamGuard {
    /// Longest time between two tokens.
    max_token_gap: Duration,
    /// Whether the engine can continue at a token offset.
    can_resume: bool,
    deadline: Deadline,
    framing: StreamFraming,
    /// Whether any byte of the body has arrived.
    has_bytes: bool,
    /// Whether a verdict has ended the answer.
    has_ended: bool,
    scanner: EventScanner,
    /// Time by which more of the answer must arrive.
    silence_deadline: Duration,
}

impl StreamGuard {
    /// Creates the guard of an answer whose request was sent at `now`. `can_resume` tells whether
    /// the engine can continue at a token offset; `preset` has the time limits.
    #[must_use]
    pub fn new(
        now: Duration,
        framing: StreamFraming,
        deadline: Deadline,
        can_resume: bool,
        preset: &Preset,
    ) -> Self {
        Self {
            max_token_gap: Duration::from_millis(preset.between_tokens_ms),
            can_resume,
            deadline,
            framing,
            has_bytes: false,
            has_ended: false,
            scanner: EventScanner::default(),
            silence_deadline: now + Duration::from_millis(preset.first_byte_ms),
        }
    }

    /// Returns the latest time at which [`Self::on_tick`] must be called.
    #[must_use]
    pub fn next_tick(&self) -> Duration {
        self.silence_deadline.min(self.deadline.at())
    }

    /// Processes bytes of the answer's body. Like [`Self::on_tick`], it checks the deadline and the
    /// time limits: an upstream that sends without a pause leaves no time for a tick.
    pub fn on_bytes(&mut self, now: Duration, bytes: &[u8]) -> StreamVerdict {
        if self.has_ended {
            return StreamVerdict::AlreadyEnded;
        }
        self.has_bytes |= !bytes.is_empty();
        if self.framing == StreamFraming::Body {
            self.silence_deadline = now + self.max_token_gap;
            return self.on_tick(now);
        }
        let scan = self.scanner.scan(bytes);
        if scan.has_progress {
            self.silence_deadline = now + self.max_token_gap;
        }
        if !self.scanner.is_done() {
            return self.on_tick(now);
        }
        self.has_ended = true;
        let connection = match scan.has_trailing_bytes {
            true => ConnectionAction::Close,
            false => ConnectionAction::Reuse,
        };
        StreamVerdict::Complete { connection }
    }

    /// Ends the answer because the caller disconnected.
    pub fn on_cancel(&mut self) -> StreamVerdict {
        self.end_broken(StreamFault::Cancelled)
    }

    /// Processes the end of the body; `clean` tells whether the client library saw the end of the
    /// HTTP framing.
    pub fn on_end(&mut self, clean: bool) -> StreamVerdict {
        if self.has_ended {
            return StreamVerdict::AlreadyEnded;
        }
        if self.framing == StreamFraming::Events || !clean {
            return self.end_broken(StreamFault::Truncated);
        }
        self.has_ended = true;
        StreamVerdict::Complete {
            connection: ConnectionAction::Reuse,
        }
    }

    /// Processes the head of the answer, after which the body may take at least the limit between
    /// tokens to begin.
    pub fn on_head(&mut self, now: Duration) {
        self.silence_deadline = self.silence_deadline.max(now + self.max_token_gap);
    }

    /// Checks the deadline and the time limits at `now`.
    pub fn on_tick(&mut self, now: Duration) -> StreamVerdict {
        if self.has_ended {
            return StreamVerdict::AlreadyEnded;
        }
        if self.deadline.is_past(now) {
            return self.end_broken(StreamFault::Deadline);
        }
        if now < self.silence_deadline {
            return StreamVerdict::Continue;
        }
        match self.has_bytes {
            true => self.end_broken(StreamFault::BetweenTokens),
            false => self.end_broken(StreamFault::FirstByte),
        }
    }

    /// Returns the number of tokens passed on to the caller.
    #[must_use]
    pub fn forwarded_tokens(&self) -> Tokens {
        self.scanner.tokens()
    }

    /// Ends the answer as broken.
    fn end_broken(&mut self, fault: StreamFault) -> StreamVerdict {
        if std::mem::replace(&mut self.has_ended, true) {
            return StreamVerdict::AlreadyEnded;
        }
        StreamVerdict::Broken {
            fault,
            connection: ConnectionAction::Close,
            resumption: self.resumption(fault),
        }
    }

    /// Returns how the caller's answer can be continued after a fault.
    fn resumption(&self, fault: StreamFault) -> Resumption {
        match fault {
            StreamFault::Cancelled | StreamFault::Deadline => Resumption::Never,
            _ if !self.has_bytes => Resumption::Restart,
            _ if self.can_resume && self.framing == StreamFraming::Events => {
                Resumption::AtToken(self.forwarded_tokens())
            }
            _ => Resumption::Never,
        }
    }
}
