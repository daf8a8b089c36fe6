use super::*;
use {
    call::{Call, Destination},
    crash_watch::{CrashWatch, EndedRun},
    ebonystand_core::{
        AnswerLimit, AnswerPause, AttemptEnd, ChoiceQuery, Prompt, PromptPartId, SharedPrefix,
    },
    request_content::RequestContent,
    std::collections::BTreeSet,
};

/// One request in flight at one upstream, counted in the
/// [`UpstreamBook`](ebonystand_core::UpstreamBook). An attempt that is dropped before it ends
/// counts as cancelled.
pub(crate) struct Attempt {
    address: SocketAddr,
    aim: Duration,
    content: RequestContent,
    ended: bool,
    first_byte: Option<Duration>,
    /// Time of the latest event of a streamed answer; `None` before the first event and for other
    /// answers.
    last_event: Option<Duration>,
    /// Regions where the prompt may be cached; `None` if it may be cached in all.
    homes: Option<BTreeSet<RegionId>>,
    instance: UpstreamId,
    node: Rc<Node>,
    /// Whether the upstream has answered for long enough to have survived the prompt.
    has_survived: bool,
    /// Parts of the prompt that other prompts may share.
    parts: Box<[PromptPartId]>,
    /// Slot that the attempt holds, if a scheduler has granted one.
    slot: Option<SlotHold>,
    /// Prefixes of the prompt that the upstream has cached once its answer has begun.
    prefixes: Vec<SharedPrefix>,
    request: Box<str>,
    service: ServiceId,
    started: Duration,
    unread: Tokens,
}

impl Attempt {
    /// Time after the begin of an answer at which its upstream has survived the prompt. An upstream may still end under the
    /// first event.
    const SURVIVAL_TIME: Duration = Duration::from_millis(200);

    /// Records in the book that a request is sent to an upstream.
    pub(crate) fn begin(
        node: &Rc<Node>,
        call: &Call,
        query: &ChoiceQuery,
        to: &Destination,
        slot: Option<SlotHold>,
    ) -> Self {
        let started = node.clock.now();
        let Destination {
            address,
            ref instance,
            unread,
            ..
        } = *to;
        let mut book = node.gateway.book.borrow_mut();
        book.record_sent(started, query, instance, unread);
        let prompt = query.prompt;
        let prefixes = prompt.map(SharedPrefix::list_in);
        let prefixes = prefixes.unwrap_or_default();
        Self {
            address,
            aim: query.first_byte_target,
            content: call.content(),
            ended: false,
            first_byte: None,
            last_event: None,
            homes: query.homes.cloned(),
            instance: instance.clone(),
            node: Rc::clone(node),
            has_survived: false,
            parts: prompt.map(Prompt::shared_part_ids).unwrap_or_default(),
            prefixes,
            request: call.request.clone(),
            slot,
            service: call.service.clone(),
            started,
            unread,
        }
    }

    /// Records the arrival of the first byte of the answer.
    pub(crate) fn record_first_byte(&mut self) {
        if self.first_byte.is_none() {
            let waited = self.node.clock.now().saturating_sub(self.started);
            self.first_byte = Some(waited);
            self.content.release_large_body();
            let now = self.node.clock.now();
            let mut book = self.node.gateway.book.borrow_mut();
            book.record_first_byte(now, &self.instance, self.unread, self.aim, Some(waited));
            book.record_cached_prefixes(now, &self.instance, &self.prefixes, self.homes.as_ref());
            drop(book);
            if let Some(slot) = &self.slot {
                slot.begin(waited);
            }
            RoomQueues::advance(&self.node);
        }
    }

    /// Records what the head of the answer says of the upstream's limit.
    pub(crate) fn record_limit(&self, limit: &AnswerLimit) {
        let limit = match limit {
            AnswerLimit::Absent => None,
            AnswerLimit::Named(limit) => Some(*limit),
            AnswerLimit::Invalid(error) => {
                log::warn!(upstream:% = self.instance, error:% = error; "limit of an upstream ignored");
                return;
            }
        };
        let now = self.node.clock.now();
        let mut book = self.node.gateway.book.borrow_mut();
        if book.record_limit(now, &self.instance, self.started, limit) {
            GatewayController::log_limit(&self.instance, limit, &self.instance);
        }
    }

    /// Records what the head of an answer says of the upstream itself: that it leaves, or wants a
    /// pause.
    pub(crate) fn record_notices(&self, is_leaving: bool, pause: &AnswerPause) {
        let now = self.node.clock.now();
        let mut book = self.node.gateway.book.borrow_mut();
        if is_leaving && book.record_leaving(&self.instance) {
            log::info!(upstream:% = self.instance; "upstream says that it leaves");
            self.node.gateway.pool.close_idle(self.address);
        }
        match pause {
            AnswerPause::Absent => {}
            AnswerPause::Invalid(error) => {
                log::warn!(upstream:% = self.instance, error:% = error; "pause of an upstream ignored");
            }
            AnswerPause::Requested(pause) => {
                if book.record_pause(now, &self.instance, *pause) {
                    let pause_ms = pause.as_millis() as u64;
                    log::info!(upstream:% = self.instance, pause_ms = pause_ms; "upstream asks for a pause");
                }
            }
        }
    }

    /// Records how many requests the upstream says that it may turn away in a second.
    pub(crate) fn record_shed_tolerance(&self, tolerance: Option<u32>) {
        let mut book = self.node.gateway.book.borrow_mut();
        if book.record_shed_tolerance(&self.instance, tolerance) {
            log::info!(upstream:% = self.instance, tolerance:? = tolerance; "shed tolerance of an upstream changed");
        }
    }

    /// Records that the upstream has turned the request away.
    pub(crate) fn record_shed(&self) {
        let now = self.node.clock.now();
        let spread = (self.node.gateway.draw() % 1_000) as f64 / 1_000.0;
        let mut book = self.node.gateway.book.borrow_mut();
        if let Some(pause) = book.record_shed(now, &self.instance, spread) {
            let pause_ms = pause.as_millis() as u64;
            log::info!(upstream:% = self.instance, pause_ms = pause_ms; "upstream that tolerates few refusals has no room");
        }
    }

    /// Records the arrival of one or more events of a streamed answer.
    pub(crate) fn record_event(&mut self) {
        let now = self.node.clock.now();
        let since = self.first_byte.map(|waited| self.started + waited);
        if since.is_some_and(|since| now >= since + Self::SURVIVAL_TIME) {
            self.record_survival();
        }
        if let Some(last) = self.last_event.replace(now) {
            let mut book = self.node.gateway.book.borrow_mut();
            book.record_stream_event(now, &self.instance, now.saturating_sub(last));
        }
    }

    /// Records that the upstream has survived the prompt.
    fn record_survival(&mut self) {
        if !self.has_survived && !self.parts.is_empty() {
            self.has_survived = true;
            let parts = &self.node.parts;
            parts.record_survival(&self.node, &self.service, &self.parts);
        }
    }

    /// Records how the attempt ended.
    pub(crate) fn end(mut self, end: AttemptEnd) {
        self.close(end);
    }

    /// Time from the start of the attempt to the first byte of the answer; `None` before that byte.
    pub(crate) fn first_byte(&self) -> Option<Duration> {
        self.first_byte
    }

    /// Records the end of the attempt unless it has been recorded already.
    fn close(&mut self, end: AttemptEnd) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let now = self.node.clock.now();
        let mut book = self.node.gateway.book.borrow_mut();
        if self.first_byte.is_none() {
            book.record_first_byte(now, &self.instance, self.unread, self.aim, None);
        }
        let waited = now.saturating_sub(self.started);
        book.record_attempt_end(now, &self.instance, end, waited);
        drop(book);
        self.slot = None;
        match end {
            AttemptEnd::Answered => {
                let quarantine = &self.node.quarantine;
                quarantine.record_survival(&self.node, || self.content.fingerprint());
                self.record_survival();
            }
            AttemptEnd::Closed | AttemptEnd::Lost => {
                let run = EndedRun {
                    content: self.content.clone(),
                    has_begun: self.first_byte.is_some(),
                    has_survived: self.has_survived,
                    is_lost: end == AttemptEnd::Lost,
                    is_trial: self.node.parts.is_trial(&self.node, &self.request),
                    parts: std::mem::take(&mut self.parts),
                    request: self.request.clone(),
                };
                CrashWatch::check(&self.node, &self.service, &self.instance, self.address, run);
            }
            _ => {}
        }
        RoomQueues::advance(&self.node);
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.close(AttemptEnd::Cancelled);
    }
}

use {controller::GatewayController, node::Node, room_queues::RoomQueues, slot_hold::SlotHold};
