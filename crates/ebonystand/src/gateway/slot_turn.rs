use super::*;
use {
    call::Call,
    ebonystand_core::{SlotDecision, TargetChoice, UpstreamKey},
    metrics::SlotLabel,
    node::Node,
    slot_hold::SlotHold,
};

/// How a request's wait for a slot ended.
pub(crate) enum SlotTurn {
    /// Room is not short, or the request needs no slot of this region: it goes by the VM's own choice.
    NotAsked,
    /// The request may be sent to this engine.
    Granted { engine: UpstreamKey, hold: SlotHold },
    /// No slot comes free in time.
    Refused { retry_after: Duration },
    /// No scheduler answered.
    Unscheduled,
}

impl SlotTurn {
    /// Asks a scheduler for a slot if room is short, and waits for its decision.
    pub(crate) async fn wait(node: &Rc<Node>, call: &Call, choice: &TargetChoice) -> Self {
        if call.unscheduled {
            return Self::NotAsked;
        }
        let asked = node.clock.now();
        let Some((number, rx)) = node.gateway.slots.ask(node, call, choice) else {
            return Self::NotAsked;
        };
        let hold = SlotHold::new(node, number);
        // The controller answers each request or, if it forgets one, drops its channel.
        let decision = rx.await.unwrap_or(SlotDecision::Unscheduled);
        let waited_ms = node.clock.now().saturating_sub(asked).as_millis() as u64;
        let scheduler = node.gateway.slots.scheduler(number);
        let waiting = node.gateway.slots.waiting();
        let outcome = match decision {
            SlotDecision::Granted { .. } => "granted",
            SlotDecision::Refused { .. } => "refused",
            SlotDecision::Unscheduled => "unscheduled",
        };
        log::info!(
            request:% = call.request, workspace:? = call.workspace, rank = call.rank, outcome:% = outcome,
            scheduler:? = scheduler, waited_ms = waited_ms, waiting = waiting;
            "slot asked for"
        );
        let label = SlotLabel {
            outcome: outcome.into(),
        };
        node.metrics.slots.get_or_create(&label).inc();
        match decision {
            SlotDecision::Granted { engine } => Self::Granted { engine, hold },
            SlotDecision::Refused { retry_after } => Self::Refused { retry_after },
            SlotDecision::Unscheduled => Self::Unscheduled,
        }
    }
}
