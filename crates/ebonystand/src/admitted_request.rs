use super::*;
use {
    caller::Caller,
    dispatch::DispatchFailure,
    ebonystand_core::{
        AnswerTime, CallKind, Deadline, Fingerprint, Quarantine, Retryable, Route, RouteQuery,
        Target, Tokens,
    },
    may_have_run::MayHaveRun,
    node::Node,
    retry_permit::RetryPermit,
};

/// A request that passed the filters, on its way to an upstream.
pub(crate) struct AdmittedRequest {
    /// When it came, on the process's clock.
    pub(crate) arrived: Duration,
    pub(crate) body: Bytes,
    pub(crate) caller: Caller,
    pub(crate) deadline: Deadline,
    pub(crate) excluded: Vec<UpstreamId>,
    /// The last dispatch that may have run, if it failed.
    pub(crate) failure: Option<Refusal>,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) id: Box<str>,
    pub(crate) max_tokens: Tokens,
    /// Whether an upstream may have run the request, or may be running it.
    pub(crate) may_have_run: MayHaveRun,
    /// Permit of the retry that is under way.
    pub(crate) permit: Option<RetryPermit>,
    pub(crate) prefix: u64,
    pub(crate) prefix_tokens: Tokens,
    pub(crate) prompt_tokens: Tokens,
    /// Upstreams that it has waited for in vain once.
    pub(crate) silent: Vec<UpstreamId>,
    pub(crate) target: Target,
}

impl AdmittedRequest {
    /// Whether an upstream that was chosen may still get the request. The configuration may have
    /// changed while the request waited for leave to run.
    pub(crate) fn confirm(&self, node: &Node, upstream: &str) -> bool {
        let document = node.document();
        let Some(workspace) = document.workspaces.get(&self.caller.workspace) else {
            return false;
        };
        let query = self.query(node, workspace, &self.excluded);
        node.routes.confirm(node.clock.now(), &query, upstream)
    }

    /// The refusal of a request whose answer can't come before this VM ends, if it is about to stop. `expected` is
    /// the time to the end of the answer, if it is known.
    pub(crate) fn departure_refusal(
        &self,
        node: &Node,
        kind: CallKind,
        expected: Option<Duration>,
    ) -> Option<Refusal> {
        let departure = node.departure()?;
        let answer = AnswerTime::new(kind, self.deadline.at(), expected);
        if departure.admits(node.clock.now(), &answer) {
            return None;
        }
        let message = "this VM is leaving; the answer would be cut off";
        Some(Refusal::not_run(RefusalCode::Draining, message))
    }

    /// Fingerprint of a request, by which one that crashes upstreams is known again.
    pub(crate) fn fingerprint(caller: &Caller, target: &Target, body: &[u8]) -> Fingerprint {
        Quarantine::fingerprint(&caller.workspace, &target.to_string(), body)
    }

    /// The final refusal of a request that `refusal` ends. One that was dispatched before may have
    /// run there, whatever ends it now: saying that it has not run would be false.
    pub(crate) fn final_refusal(&self, refusal: Refusal) -> Refusal {
        self.failure.clone().unwrap_or(refusal)
    }

    /// Time left before the deadline.
    pub(crate) fn left(&self, node: &Node) -> Duration {
        self.deadline.remaining(node.clock.now())
    }

    /// Chooses an upstream that has not failed before, and logs why.
    pub(crate) fn route(&self, node: &Node) -> Result<Route, Refusal> {
        self.route_without(node, &self.excluded)
    }

    /// Chooses an upstream that is not excluded, under the configuration in force now.
    pub(crate) fn route_without(
        &self,
        node: &Node,
        excluded: &[UpstreamId],
    ) -> Result<Route, Refusal> {
        if !node.key_valid(&self.caller.key) {
            let message = "the key was withdrawn while the request waited";
            return Err(Refusal::not_run(RefusalCode::Unauthorized, message));
        }
        let document = node.document();
        let Some(workspace) = document.workspaces.get(&self.caller.workspace) else {
            let message = "the workspace was removed";
            return Err(Refusal::not_run(RefusalCode::Unauthorized, message));
        };
        let query = self.query(node, workspace, excluded);
        let route = node.routes.route(node.clock.now(), &query)?;
        let candidates = route.candidates.iter();
        let candidates = candidates
            .map(|candidate| format!("{}:{:?}", candidate.upstream, candidate.score))
            .collect::<Vec<_>>();
        log::info!(
            request:% = self.id, workspace:% = self.caller.workspace, target:% = self.target,
            candidates:? = candidates, chosen:% = route.upstream, region:% = route.region,
            why:% = route.reason, predicted_us = route.predicted.as_micros() as u64;
            "routed"
        );
        Ok(route)
    }

    /// Notes a failed dispatch; `Ok` if another upstream may be tried.
    pub(crate) fn retry(
        &mut self,
        node: &Node,
        upstream: UpstreamId,
        failure: &DispatchFailure,
    ) -> Result<(), Refusal> {
        let not_started = failure.not_started();
        if !not_started {
            self.failure = Some(failure.refusal());
        }
        self.may_have_run.set(self.failure.is_some());
        let retryable = Retryable::classify(false, !not_started, false);
        RetryPermit::end_attempt(&mut self.permit, !not_started);
        let document = node.document();
        let now = node.clock.now();
        let (grant, permit) = node.routes.try_retry(now, retryable, document.preset());
        if !grant.is_granted() {
            return Err(self.final_refusal(failure.refusal()));
        }
        self.permit = permit.or(self.permit.take());
        node.metrics.retries.inc();
        // With the connection that was silent all idle ones were given up, so that the same
        // upstream may answer over a new one. A second silence is the upstream's own.
        let is_silent = matches!(failure, DispatchFailure::Timeout);
        if is_silent && !self.silent.contains(&upstream) {
            self.silent.push(upstream);
        } else {
            self.excluded.push(upstream);
        }
        Ok(())
    }

    fn query<'a>(
        &'a self,
        node: &Node,
        workspace: &'a Workspace,
        excluded: &'a [UpstreamId],
    ) -> RouteQuery<'a> {
        RouteQuery {
            deadline: self.left(node),
            excluded,
            max_tokens: self.max_tokens,
            prefix: self.prefix,
            prefix_tokens: self.prefix_tokens,
            prompt_tokens: self.prompt_tokens,
            residency: &workspace.residency,
            target: &self.target,
            workspace: &self.caller.workspace,
        }
    }
}
