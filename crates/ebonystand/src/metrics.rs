use super::*;
use prometheus_client::{
    encoding::{EncodeLabelSet, text},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

/// What the users measure, and what an operator needs at night.
pub(crate) struct Metrics {
    pub(crate) advertised_capacity: Gauge,
    pub(crate) answers_broken_off: Counter,
    pub(crate) allowance_refusals: Family<WorkspaceLabel, Counter>,
    pub(crate) allowance_silences: Family<WorkspaceLabel, Counter>,
    pub(crate) config_version: Gauge,
    pub(crate) cost: Counter,
    pub(crate) cut_services: Gauge,
    pub(crate) dispatches: Family<DispatchLabels, Counter>,
    pub(crate) early_refusals: Counter,
    pub(crate) first_token: Family<WorkspaceLabel, Histogram>,
    pub(crate) limit_refusals: Counter,
    /// Bytes that callers have not accepted yet.
    pub(crate) held_bytes: Gauge,
    pub(crate) ignored_list_entries: Gauge,
    pub(crate) limited_upstreams: Gauge,
    pub(crate) noticed_upstreams: Gauge,
    pub(crate) offered_slots: Family<ServiceLabel, Gauge>,
    pub(crate) slow_upstreams: Gauge,
    pub(crate) part_holds: Counter,
    pub(crate) part_refusals: Counter,
    pub(crate) peer_refused: Counter,
    pub(crate) quarantined: Gauge,
    pub(crate) quarantined_parts: Gauge,
    pub(crate) refusals: Family<RefusalLabels, Counter>,
    pub(crate) requests: Family<WorkspaceLabel, Counter>,
    pub(crate) retries: Counter,
    pub(crate) retry_grants: Family<GrantLabel, Counter>,
    pub(crate) sent_away: Counter,
    pub(crate) sent_beside: Counter,
    pub(crate) sent_to_evacuated: Counter,
    pub(crate) slot_waiting: Gauge,
    pub(crate) slots: Family<SlotLabel, Counter>,
    pub(crate) stalls: Counter,
    pub(crate) stream_origins: Gauge,
    pub(crate) stream_resumptions: Family<ResumptionLabel, Counter>,
    pub(crate) streams: Gauge,
    pub(crate) suspected_parts: Gauge,
    pub(crate) suspects: Gauge,
    pub(crate) tokens: Family<WorkspaceLabel, Counter>,
    pub(crate) unframed_answers: Counter,
    pub(crate) whole: Family<WorkspaceLabel, Histogram>,
    registry: Registry,
    workspaces: RefCell<FxHashMap<WorkspaceId, ()>>,
}

/// Where a request was sent.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct DispatchLabels {
    pub(crate) region: String,
    pub(crate) upstream: String,
}

/// By what a retry on a route was granted, or that it was refused.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct GrantLabel {
    pub(crate) grant: String,
}

/// How a caller's try to take up a stream ended.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct ResumptionLabel {
    pub(crate) outcome: String,
}

/// Why a request was refused.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct RefusalLabels {
    pub(crate) code: String,
    pub(crate) run: String,
}

/// How a request's wait for a slot ended.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct SlotLabel {
    pub(crate) outcome: String,
}

/// Service that a figure belongs to.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct ServiceLabel {
    pub(crate) service: String,
}

/// Workspace that a figure belongs to.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct WorkspaceLabel {
    pub(crate) workspace: String,
}

impl Metrics {
    const BUCKETS: u16 = 16;
    const FIRST_BUCKET_SECONDS: f64 = 0.001;
    /// Workspaces with figures of their own; all others share one label, so that 36,000 of them
    /// do not fill the memory of each VM.
    const WORKSPACES: usize = 256;

    pub(crate) fn encode(&self) -> String {
        let mut out = String::new();
        if let Err(error) = text::encode(&mut out, &self.registry) {
            log::error!(error:% = error; "metrics cannot be encoded");
        }
        out
    }

    pub(crate) fn new() -> Self {
        let histogram: fn() -> Histogram = || {
            Histogram::new(exponential_buckets(
                Self::FIRST_BUCKET_SECONDS,
                2.0,
                Self::BUCKETS,
            ))
        };
        let mut metrics = Self {
            allowance_refusals: Family::default(),
            advertised_capacity: Gauge::default(),
            allowance_silences: Family::default(),
            answers_broken_off: Counter::default(),
            held_bytes: Gauge::default(),
            config_version: Gauge::default(),
            cost: Counter::default(),
            cut_services: Gauge::default(),
            dispatches: Family::default(),
            early_refusals: Counter::default(),
            first_token: Family::new_with_constructor(histogram),
            limit_refusals: Counter::default(),
            ignored_list_entries: Gauge::default(),
            limited_upstreams: Gauge::default(),
            noticed_upstreams: Gauge::default(),
            offered_slots: Family::default(),
            slow_upstreams: Gauge::default(),
            part_holds: Counter::default(),
            part_refusals: Counter::default(),
            peer_refused: Counter::default(),
            quarantined: Gauge::default(),
            quarantined_parts: Gauge::default(),
            refusals: Family::default(),
            requests: Family::default(),
            retries: Counter::default(),
            retry_grants: Family::default(),
            sent_away: Counter::default(),
            sent_beside: Counter::default(),
            sent_to_evacuated: Counter::default(),
            slot_waiting: Gauge::default(),
            slots: Family::default(),
            stalls: Counter::default(),
            stream_origins: Gauge::default(),
            stream_resumptions: Family::default(),
            streams: Gauge::default(),
            suspected_parts: Gauge::default(),
            suspects: Gauge::default(),
            tokens: Family::default(),
            unframed_answers: Counter::default(),
            whole: Family::new_with_constructor(histogram),
            registry: Registry::with_prefix("ebonystand"),
            workspaces: RefCell::default(),
        };
        metrics.register();
        metrics
    }

    /// Label of a workspace, bounded in number.
    pub(crate) fn workspace(&self, id: &WorkspaceId) -> WorkspaceLabel {
        let mut known = self.workspaces.borrow_mut();
        if known.len() < Self::WORKSPACES {
            known.insert(id.clone(), ());
        }
        let workspace = if known.contains_key(id) { id } else { "other" };
        WorkspaceLabel {
            workspace: workspace.to_owned(),
        }
    }

    fn register(&mut self) {
        let r = &mut self.registry;
        r.register(
            "advertised_capacity",
            "Capacity that entry lists go by, in thousandths of the reference VM's",
            self.advertised_capacity.clone(),
        );
        r.register(
            "allowance_refusals",
            "Requests refused for want of allowance",
            self.allowance_refusals.clone(),
        );
        r.register(
            "allowance_silences",
            "Requests refused because no holder of their allowance answered",
            self.allowance_silences.clone(),
        );
        r.register(
            "answers_broken_off",
            "Answers broken off because their callers read too slowly",
            self.answers_broken_off.clone(),
        );
        r.register(
            "held_bytes",
            "Bytes of answers that callers have not accepted yet",
            self.held_bytes.clone(),
        );
        r.register(
            "config_version",
            "Version of the configuration in force",
            self.config_version.clone(),
        );
        r.register(
            "cost",
            "Cost of what was dispatched, in operators' units",
            self.cost.clone(),
        );
        r.register(
            "cut_services",
            "Services whose upstreams this VM cannot connect to",
            self.cut_services.clone(),
        );
        r.register(
            "dispatches",
            "Requests sent to upstreams",
            self.dispatches.clone(),
        );
        r.register(
            "early_refusals",
            "Requests refused at once because their turn for room would come too late",
            self.early_refusals.clone(),
        );
        r.register(
            "first_token_seconds",
            "Time to the first byte of an answer",
            self.first_token.clone(),
        );
        r.register(
            "limit_refusals",
            "Requests refused while the limit of an upstream of their service was used up",
            self.limit_refusals.clone(),
        );
        r.register(
            "ignored_list_entries",
            "Malformed entries of the list of upstreams as this VM last read it",
            self.ignored_list_entries.clone(),
        );
        r.register(
            "limited_upstreams",
            "Upstreams whose limit is in force on this VM",
            self.limited_upstreams.clone(),
        );
        r.register(
            "noticed_upstreams",
            "Upstreams that have told this VM that they leave or want a pause",
            self.noticed_upstreams.clone(),
        );
        r.register(
            "offered_slots",
            "Slots that this region offers to others, as this VM last told them",
            self.offered_slots.clone(),
        );
        r.register(
            "slow_upstreams",
            "Upstreams that work slowly now, as their answers or other VMs tell",
            self.slow_upstreams.clone(),
        );
        r.register(
            "part_holds",
            "Prompts that waited because of a suspected part",
            self.part_holds.clone(),
        );
        r.register(
            "part_refusals",
            "Prompts refused because of a quarantined part",
            self.part_refusals.clone(),
        );
        r.register(
            "peer_refused",
            "Frames and datagrams refused as not authentic or malformed",
            self.peer_refused.clone(),
        );
        r.register(
            "quarantined_parts",
            "Parts of prompts that this VM refuses because they crash upstreams",
            self.quarantined_parts.clone(),
        );
        r.register(
            "quarantined_requests",
            "Requests that this VM refuses because they crash upstreams",
            self.quarantined.clone(),
        );
        r.register("refusals", "Requests refused", self.refusals.clone());
        r.register(
            "requests",
            "Requests with a valid key",
            self.requests.clone(),
        );
        r.register(
            "retries",
            "Requests sent to another upstream",
            self.retries.clone(),
        );
        r.register(
            "retry_grants",
            "Retries on routes that the budget or nothing sent before allowed, or that were refused",
            self.retry_grants.clone(),
        );
        r.register(
            "sent_away",
            "Requests sent to another region",
            self.sent_away.clone(),
        );
        r.register(
            "sent_beside",
            "Requests sent to another VM of the region, because this one reaches no upstream",
            self.sent_beside.clone(),
        );
        r.register(
            "sent_to_evacuated",
            "Requests sent to upstreams of zones whose evacuation came into force after the choice",
            self.sent_to_evacuated.clone(),
        );
        r.register(
            "slot_waiting",
            "Requests of all VMs that wait for a slot of the engines that this VM schedules",
            self.slot_waiting.clone(),
        );
        r.register(
            "slots",
            "Requests of this VM that asked a scheduler for a slot, by what became of it",
            self.slots.clone(),
        );
        r.register(
            "stalls",
            "Times for which the process did not run",
            self.stalls.clone(),
        );
        r.register(
            "stream_origins",
            "Streams of which this VM holds the software version that began them",
            self.stream_origins.clone(),
        );
        r.register(
            "stream_resumptions",
            "Streams that callers took up again, by what became of it",
            self.stream_resumptions.clone(),
        );
        r.register("streams", "Streams that run", self.streams.clone());
        r.register(
            "suspected_parts",
            "Parts of prompts that may crash upstreams, quarantined ones not included",
            self.suspected_parts.clone(),
        );
        r.register(
            "suspected_requests",
            "Requests that may crash upstreams, quarantined ones included",
            self.suspects.clone(),
        );
        r.register("tokens", "Tokens used", self.tokens.clone());
        r.register(
            "unframed_answers",
            "Answers of upstreams without a length or chunks, passed on as such",
            self.unframed_answers.clone(),
        );
        r.register(
            "whole_seconds",
            "Time to the end of an answer",
            self.whole.clone(),
        );
    }
}
