use super::*;
use {
    admitted_request::AdmittedRequest,
    dispatch::DispatchFailure,
    ebonystand_core::{DispatchEnd, Route, RunEnd, RunId, Tokens},
    node::Node,
};

/// One run of a request on one upstream. Dropped before it ended, it counts as cancelled.
pub(crate) struct Attempt {
    arrived: Duration,
    ended: bool,
    first_byte: Option<Duration>,
    node: Rc<Node>,
    request_id: Box<str>,
    route: Route,
    run: RunId,
    started: Duration,
    workspace: WorkspaceId,
}

impl Attempt {
    const TOKENS_PER_COST: u64 = 1_000;

    /// Where the upstream listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.route.address
    }

    /// The whole answer came, `tokens` of it generated.
    pub(crate) fn answered(mut self, tokens: Tokens) {
        let now = self.node.clock.now();
        let first_token = self.first_byte.unwrap_or(now).saturating_sub(self.started);
        let cost = self.route.cost * tokens.max(1) / Self::TOKENS_PER_COST;
        self.node.metrics.cost.inc_by(cost);
        log::info!(
            request:% = self.request_id, upstream:% = self.route.upstream, tokens = tokens,
            predicted_us = self.route.predicted.as_micros() as u64,
            first_token_us = first_token.as_micros() as u64,
            whole_us = now.saturating_sub(self.started).as_micros() as u64;
            "answered"
        );
        self.observe(now);
        self.end(DispatchEnd::Answered { first_token });
        self.node
            .quarantine
            .finished(&self.node, self.run, RunEnd::Clean);
    }

    /// Notes the start of a run that the quarantine has let begin.
    pub(crate) fn begin(node: &Rc<Node>, req: &AdmittedRequest, route: Route, run: RunId) -> Self {
        let started = node.clock.now();
        node.routes.started(started, &route.upstream, route.work);
        let labels = metrics::DispatchLabels {
            region: route.region.to_string(),
            upstream: route.upstream.to_string(),
        };
        node.metrics.dispatches.get_or_create(&labels).inc();
        if route.region != node.settings.region {
            node.metrics.sent_away.inc();
        }
        Self {
            arrived: req.arrived,
            ended: false,
            first_byte: None,
            node: Rc::clone(node),
            request_id: req.id.clone(),
            route,
            run,
            started,
            workspace: req.caller.workspace.clone(),
        }
    }

    /// The upstream failed.
    pub(crate) fn failed(mut self, failure: &DispatchFailure) {
        log::warn!(
            request:% = self.request_id, upstream:% = self.route.upstream, failure:% = failure;
            "dispatch failed"
        );
        let end = match failure {
            DispatchFailure::Timeout => DispatchEnd::TimedOut,
            _ => DispatchEnd::Failed,
        };
        self.end(end);
        let end = match failure {
            DispatchFailure::Broken { .. } => RunEnd::Crashed {
                upstream: self.route.upstream.clone(),
            },
            _ => RunEnd::Clean,
        };
        self.node.quarantine.finished(&self.node, self.run, end);
    }

    /// This VM ends before the answer does.
    pub(crate) fn cut_off(self) {
        log::warn!(request:% = self.request_id, upstream:% = self.route.upstream; "cut off: this VM ends");
    }

    /// The first byte of the answer came.
    pub(crate) fn first_byte(&mut self) {
        self.first_byte = Some(self.node.clock.now());
    }

    pub(crate) fn upstream(&self) -> &UpstreamId {
        &self.route.upstream
    }

    /// Counts how long the caller waited, the time in queues included.
    fn observe(&self, now: Duration) {
        let metrics = &self.node.metrics;
        let label = metrics.workspace(&self.workspace);
        let since = |at: Duration| at.saturating_sub(self.arrived).as_secs_f64();
        let first = since(self.first_byte.unwrap_or(now));
        metrics.first_token.get_or_create(&label).observe(first);
        metrics.whole.get_or_create(&label).observe(since(now));
    }

    fn end(&mut self, end: DispatchEnd) {
        self.ended = true;
        let now = self.node.clock.now();
        self.node.routes.finished(now, &self.route.upstream, end);
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if !self.ended {
            self.end(DispatchEnd::Cancelled);
            self.node
                .quarantine
                .finished(&self.node, self.run, RunEnd::Clean);
        }
    }
}
