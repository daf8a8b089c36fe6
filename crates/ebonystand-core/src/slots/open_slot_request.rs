use super::*;

/// Request of this VM that waits for a slot.
#[derive(Clone, Debug)]
pub(crate) struct OpenSlotRequest {
    /// Schedulers asked so far.
    pub(crate) asked: Vec<AskedScheduler>,
    /// Time by which the request must be sent to an engine.
    pub(crate) begin_by: Duration,
    /// What is asked for; the engines are those of the scheduler that is asked.
    pub(crate) request: SlotRequest,
    /// Schedulers to ask next, with their engines.
    pub(crate) targets: VecDeque<(VmId, Vec<SlotOffer>)>,
}

/// Scheduler that was asked for a slot.
#[derive(Clone, Debug)]
pub(crate) struct AskedScheduler {
    pub(crate) answer: SchedulerAnswer,
    pub(crate) engines: Vec<SlotOffer>,
    pub(crate) vm: VmId,
}

/// What a scheduler has answered so far.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SchedulerAnswer {
    /// Nothing since the message that was sent at this time.
    Awaited { since: Duration },
    /// The request waits.
    Queued,
    /// The request gets no slot in time.
    Refused { retry_after: Duration },
    /// Nothing in time.
    Silent,
}

impl OpenSlotRequest {
    /// Returns the decision if no scheduler can grant a slot any more.
    pub(crate) fn decision(&self) -> Option<SlotDecision> {
        let mut answers = self.asked.iter().map(|asked| asked.answer);
        let is_open = |answer| {
            matches!(
                answer,
                SchedulerAnswer::Awaited { .. } | SchedulerAnswer::Queued
            )
        };
        if answers.clone().any(is_open) {
            return None;
        }
        let refused = answers.by_ref().filter_map(|answer| match answer {
            SchedulerAnswer::Refused { retry_after } => Some(retry_after),
            _ => None,
        });
        Some(match refused.min() {
            Some(retry_after) => SlotDecision::Refused { retry_after },
            None => SlotDecision::Unscheduled,
        })
    }

    /// Returns the message that asks a scheduler for a slot at these engines.
    pub(crate) fn message(&self, now: Duration, number: u32, engines: &[SlotOffer]) -> SlotMessage {
        let begin_in = self.begin_by.saturating_sub(now).as_millis();
        let request = SlotRequest {
            begin_ms: u32::try_from(begin_in).unwrap_or(u32::MAX),
            engines: engines.to_vec(),
            ..self.request.clone()
        };
        SlotMessage::Request { number, request }
    }
}
