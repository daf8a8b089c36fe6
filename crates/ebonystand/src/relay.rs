use super::*;
use {
    attempt::Attempt,
    awc::ClientResponse,
    complete::Held,
    dispatch::DispatchFailure,
    ebonystand_core::{ConnectionAction, StreamFault, StreamGuard, StreamVerdict},
    node::Node,
};

/// A stream of tokens from an upstream to a caller, with all that it holds until it ends or its
/// caller leaves.
pub(crate) struct Relay {
    pub(crate) attempt: Option<Attempt>,
    pub(crate) first: Option<Bytes>,
    pub(crate) guard: StreamGuard,
    pub(crate) held: Held,
    pub(crate) key: KeyId,
    pub(crate) node: Rc<Node>,
    pub(crate) prompt_tokens: Tokens,
    pub(crate) response: Option<ClientResponse>,
}

impl Relay {
    /// Time for the rest of an answer behind its end mark.
    const REST: Duration = Duration::from_millis(500);

    /// The stream as the caller gets it. One that lacks its end mark ends in an error event, or
    /// the caller would take half an answer for a whole one.
    pub(crate) fn into_stream(self) -> impl Stream<Item = Result<Bytes, Infallible>> {
        self.node.metrics.streams.inc();
        stream::unfold(self, |mut relay| async move {
            let bytes = relay.next().await?;
            Some((Ok(bytes), relay))
        })
    }

    /// The next bytes; `None` once the stream has ended.
    async fn next(&mut self) -> Option<Bytes> {
        self.attempt.as_ref()?;
        if let Some(first) = self.first.take() {
            return self.pass(first);
        }
        if !self.node.key_valid(&self.key) {
            let message = "the key was withdrawn while the answer was being sent";
            self.end_cancelled();
            return Some(error_event(&Refusal::possibly_run(
                RefusalCode::Unauthorized,
                message,
            )));
        }
        let node = Rc::clone(&self.node);
        loop {
            let response = self.response.as_mut()?;
            let now = node.clock.now();
            let wait = self.guard.next_tick().saturating_sub(now);
            let bytes = tokio::select! {
                biased;
                () = node.ended() => return Some(self.cut_off()),
                bytes = actix_rt::time::timeout(wait, response.next()) => bytes,
            };
            let verdict = match bytes {
                Ok(Some(Ok(bytes))) => return self.pass(bytes),
                Ok(Some(Err(_))) => self.guard.on_end(false),
                Ok(None) => self.guard.on_end(true),
                Err(_) => self.guard.on_tick(node.clock.now()),
            };
            if let StreamVerdict::Broken { fault, .. } = verdict {
                return self.broken(fault);
            }
        }
    }

    fn broken(&mut self, fault: StreamFault) -> Option<Bytes> {
        self.response = None;
        let failure = DispatchFailure::of(fault);
        if let Some(attempt) = self.attempt.take() {
            attempt.failed(&failure);
        }
        let mut refusal = failure.refusal();
        if fault == StreamFault::Deadline {
            refusal.code = RefusalCode::Deadline;
        }
        Some(error_event(&refusal))
    }

    /// Ends a stream whose end mark came. What may follow it is read by a task of its own, so
    /// that the connection can be used again and the caller need not wait for it.
    fn end(&mut self, fate: ConnectionAction) {
        if let Some(attempt) = self.attempt.take() {
            attempt.answered(self.guard.forwarded_tokens());
        }
        let response = self.response.take();
        if let (Some(mut response), ConnectionAction::Reuse) = (response, fate) {
            actix_rt::spawn(async move {
                let rest = async { while let Some(Ok(_)) = response.next().await {} };
                let _ = actix_rt::time::timeout(Self::REST, rest).await;
            });
        }
    }

    fn cut_off(&mut self) -> Bytes {
        if let Some(attempt) = self.attempt.take() {
            attempt.cut_off();
        }
        self.response = None;
        let message = "this VM has ended before the answer was whole";
        error_event(&Refusal::possibly_run(RefusalCode::Deadline, message))
    }

    fn end_cancelled(&mut self) {
        self.attempt = None;
        self.response = None;
    }

    fn pass(&mut self, bytes: Bytes) -> Option<Bytes> {
        let verdict = self.guard.on_bytes(self.node.clock.now(), &bytes);
        let used = self.prompt_tokens + self.guard.forwarded_tokens();
        self.held.reserved.use_up(used);
        match verdict {
            StreamVerdict::Broken { fault, .. } => self.broken(fault),
            StreamVerdict::Complete { connection: fate } => {
                self.end(fate);
                Some(bytes)
            }
            StreamVerdict::Continue => Some(bytes),
            StreamVerdict::AlreadyEnded => None,
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.node.metrics.streams.dec();
    }
}

fn error_event(refusal: &Refusal) -> Bytes {
    let mut event = BytesMut::from(&b"event: error\ndata: "[..]);
    event.extend_from_slice(&respond::error_body(refusal, None));
    event.extend_from_slice(b"\n\n");
    event.freeze()
}
