use super::*;
use {
    allowance_controller::Reserved,
    call::{Call, Destination, Outcome},
    ebonystand_core::{
        AttemptEnd, CallKind, GatewayRoute, NextStep, Prompt, StreamKey, StreamOrigin,
        TargetChoice, VmReturns, spread_return,
    },
    in_flight::InFlight,
    node::Node,
    relay::RequestResources,
    retry_permit::RetryPermit,
    room_queues::RoomTurn,
    serve_call::{UNCONFIRMED_RETRY, unconfirmed_refusal},
    slot_turn::SlotTurn,
};

/// Longest retry delay for a caller whose request an upstream has turned away.
const MAX_SHED_RETRY: Duration = Duration::from_secs(2);

/// A request that has been routed, authorized and admitted to its workspace's quota.
pub(crate) struct Admitted {
    pub(crate) call: Call,
    pub(crate) in_flight: InFlight,
    pub(crate) key: Option<KeyHash>,
    /// Whether no upstream can have run the request so far.
    pub(crate) not_run: bool,
    /// Permit of the retry that is under way.
    pub(crate) permit: Option<RetryPermit>,
    /// Tokens taken from the allowance of the workspace, if it has a quota.
    pub(crate) reserved: Option<Reserved>,
    pub(crate) route: GatewayRoute,
    /// Stream whose origin is recorded when its first event comes; `None` if it can't be taken up again.
    pub(crate) stream: Option<StreamKey>,
    /// Time for which the stream can be taken up again.
    pub(crate) stream_lifetime: Duration,
    pub(crate) tokens: Tokens,
    /// Number of attempts that count towards the route's limit.
    pub(crate) tried: u32,
}

impl Admitted {
    /// Sends the request, with retries, until there is an answer or a refusal.
    pub(crate) async fn run(mut self, node: &Rc<Node>) -> Result<Response<BoxBody>, Refusal> {
        loop {
            self.check_quarantine(node).await?;
            let left = self.call.remaining_time(node);
            if left.is_zero() {
                return Err(self.refusal(RefusalCode::Deadline, "its time is over"));
            }
            if self.call.would_be_cut_off(node) {
                return Err(self.departing_refusal());
            }
            self.revalidate_key(node)?;
            let mut reachable = node.gateway.reachable(node, &self.call.excluded_vms);
            reachable.retain(|region| !self.call.full_regions.contains(region));
            let choice = self.call.choose(node, &reachable);
            let (choice, slot) = match SlotTurn::wait(node, &self.call, &choice).await {
                SlotTurn::NotAsked => (choice, None),
                SlotTurn::Granted { engine, hold } => {
                    self.check_quarantine(node).await?;
                    self.revalidate_key(node)?;
                    match self.call.granted_target(node, engine) {
                        Some(choice) => (choice, Some(hold)),
                        None => continue,
                    }
                }
                SlotTurn::Refused { retry_after } => {
                    match self.call.choose_away(node, &reachable) {
                        Some(choice) => (choice, None),
                        None => {
                            self.count_limit_refusal(node);
                            let message = "no slot of an engine comes free in time";
                            let refusal = self.refusal(RefusalCode::Overloaded, message);
                            return Err(
                                refusal.with_retry_after(self.retry_delay(node, retry_after))
                            );
                        }
                    }
                }
                SlotTurn::Unscheduled => {
                    self.call.unscheduled = true;
                    continue;
                }
            };
            let left = self.call.remaining_time(node);
            let wait = self.first_byte_wait(left);
            let (outcome, instance) = match choice {
                TargetChoice::Unavailable {
                    reason: because,
                    retry_after,
                } => {
                    let message = format!(
                        "no upstream of {} can serve it: {because}; may go to: {}; regions to send to: {}",
                        self.call.service,
                        self.call.homes_text(),
                        reachable.len()
                    );
                    self.count_limit_refusal(node);
                    let refusal = self.refusal(RefusalCode::NoUpstream, &message);
                    let spread = match because.paused {
                        0 => Duration::ZERO,
                        _ => self.retry_spread(node),
                    };
                    let homes = self.call.homes.as_ref();
                    let delay = match node.gateway.time_to_return(node, homes) {
                        Duration::ZERO => retry_after + spread,
                        wait => {
                            let left = self.call.remaining_time(node);
                            VmReturns::retry_delay(wait, self.call.aim, left, node.gateway.draw())
                        }
                    };
                    return Err(refusal.with_retry_after(delay));
                }
                TargetChoice::NoRoom { predicted } => {
                    let wait = match self.call.wait_for_room(node).await {
                        RoomTurn::Come => continue,
                        RoomTurn::Over => predicted.min(self.call.aim),
                        RoomTurn::TooLate(wait) => {
                            node.metrics.early_refusals.inc();
                            wait
                        }
                    };
                    let message = match self.count_limit_refusal(node) {
                        true => {
                            "no upstream can begin it in time; some have used up the limit that they name"
                        }
                        false => "all upstreams have as much as they can begin in time",
                    };
                    let refusal = self.refusal(RefusalCode::Overloaded, message);
                    return Err(refusal.with_retry_after(self.retry_delay(node, wait)));
                }
                TargetChoice::Upstream {
                    address,
                    candidates,
                    compared,
                    import,
                    instance,
                    is_sound,
                    predicted,
                    report_age,
                    software,
                    unread,
                } => {
                    log::info!(
                        request:% = self.call.request, route:% = self.route.name,
                        workspace:? = self.call.workspace, upstream:% = instance, software:% = software,
                        candidates = candidates, compared = compared, sound = is_sound, tokens = self.tokens, unread = unread,
                        import_from:? = import.as_ref().map(|source| &source.instance),
                        import_tokens = import.as_ref().map_or(0, |source| source.tokens),
                        predicted_ms = predicted.as_millis() as u64,
                        report_age_ms:? = report_age.map(|age| age.as_millis() as u64),
                        left_ms = left.as_millis() as u64, tried = self.tried,
                        since_grant_ms:? = self.since_grant(node),
                        admitted_leaving_for_ms:? = node.leaving_for_ms(self.call.admitted),
                        leaving_for_ms:? = node.leaving_for_ms(node.clock.now());
                        "sent"
                    );
                    self.consume_reservation();
                    let to = Destination {
                        address,
                        import,
                        instance,
                        software,
                        unread,
                    };
                    RetryPermit::begin_attempt(&mut self.permit);
                    let outcome = self.call.send_here(node, &to, slot, wait).await;
                    (outcome, Some(to.instance))
                }
                TargetChoice::Forward {
                    local_cost: here,
                    predicted,
                    region,
                } => {
                    let work = self.call.prompt.as_ref().map_or(0, Prompt::own_tokens);
                    let room_left = node.gateway.book.borrow_mut().record_sent_away(
                        &region,
                        &self.call.service,
                        work,
                    );
                    log::info!(
                        request:% = self.call.request, route:% = self.route.name,
                        workspace:? = self.call.workspace, region:% = region, room_left:? = room_left, tokens = self.tokens,
                        here_ms:? = here.map(|here| here.as_millis() as u64),
                        predicted_ms = predicted.as_millis() as u64,
                        left_ms = left.as_millis() as u64, tried = self.tried,
                        since_grant_ms:? = self.since_grant(node),
                        admitted_leaving_for_ms:? = node.leaving_for_ms(self.call.admitted),
                        leaving_for_ms:? = node.leaving_for_ms(node.clock.now());
                        "sent away"
                    );
                    match region == node.settings.region {
                        true => node.metrics.sent_beside.inc(),
                        false => node.metrics.sent_away.inc(),
                    };
                    self.consume_reservation();
                    RetryPermit::begin_attempt(&mut self.permit);
                    let outcome = forward::send(node, &mut self.call, &region, wait).await;
                    (outcome, None)
                }
            };
            let is_sent = match &outcome {
                Outcome::Answered(_) => true,
                Outcome::Ended { end, .. } => end.can_have_reached_upstream(),
            };
            RetryPermit::end_attempt(&mut self.permit, is_sent);
            match outcome {
                Outcome::Answered(answered) => match self.respond(node, *answered).await {
                    Ok(response) => return Ok(response),
                    Err((end, admitted)) => {
                        self = *admitted;
                        self.decide_next_step(node, end, None, instance)?;
                    }
                },
                Outcome::Ended {
                    answer,
                    end,
                    retry_after,
                } => {
                    if let Err(refusal) = self.decide_next_step(node, end, retry_after, instance) {
                        let answer = match answer {
                            Some(answer) => answer.read_rest(node, &self.call).await,
                            None => None,
                        };
                        return answer.map(FailureAnswer::into_response).ok_or(refusal);
                    }
                }
            }
        }
    }

    /// Converts an upstream's answer into the response to the caller. A stream is passed on as it
    /// arrives. Any other answer is buffered whole first, so that an idempotent call can be retried
    /// elsewhere if its answer breaks off.
    async fn respond(
        mut self,
        node: &Rc<Node>,
        mut answered: call::Answered,
    ) -> Result<Response<BoxBody>, (AttemptEnd, Box<Self>)> {
        answered
            .relay
            .record_latencies_for(self.call.workspace.clone());
        if self.route.kind == CallKind::Stream {
            self.record_origin(node, &answered);
            let resources = RequestResources::new(self.in_flight, self.reserved.take());
            answered.relay.set_resources(resources);
            return Ok(answered.into_response());
        }
        let is_unframed = answered.relay.is_unframed();
        let limit = node.settings.limits.body_bytes;
        match answered.relay.read_whole(limit).await {
            Ok(body) => Ok(call::buffered_response(
                answered.status,
                &answered.headers,
                body,
                is_unframed,
            )),
            Err(end) => Err((end, Box::new(self))),
        }
    }

    /// Records which software version sends the first event of a stream.
    fn record_origin(&self, node: &Node, answered: &call::Answered) {
        let (Some(key), Some(software)) = (self.stream, &answered.software) else {
            return;
        };
        if !answered.status.is_success() {
            return;
        }
        let origin = StreamOrigin {
            service: self.call.service.clone(),
            software: software.clone(),
        };
        let lifetime = self.stream_lifetime;
        let origins = &node.gateway.origins;
        origins.record(node, &self.route, key, &origin, lifetime);
    }

    /// Validates the API key again, because it may have been revoked while the request waited.
    fn revalidate_key(&self, node: &Node) -> Result<(), Refusal> {
        if self.route.public {
            return Ok(());
        }
        if !node.gateway.confirmed(node.clock.now()) {
            return Err(self.with_run_state(unconfirmed_refusal()));
        }
        let table = node.gateway.table();
        let workspace = self.key.as_ref().and_then(|key| table.workspace(key));
        if workspace.map(|workspace| &workspace.name) == self.call.workspace.as_ref() {
            return Ok(());
        }
        Err(self.refusal(
            RefusalCode::Unauthorized,
            "the key was taken away while the request waited",
        ))
    }

    /// Checks the quarantine again, because the request may have crashed upstreams meanwhile, under
    /// this caller or another.
    async fn check_quarantine(&self, node: &Node) -> Result<(), Refusal> {
        let checked = self.call.check_quarantine(node).await;
        checked.map_err(|refusal| self.with_run_state(refusal))
    }

    /// Delay after which a caller refused for lack of room is asked to retry, if room is expected
    /// after `wait`.
    fn retry_delay(&self, node: &Node, wait: Duration) -> Duration {
        let left = self.call.remaining_time(node);
        spread_return(wait, self.call.aim, left, node.gateway.draw())
    }

    /// Random part of the first-byte target, so that refused callers don't return all at once.
    fn retry_spread(&self, node: &Node) -> Duration {
        let spread = node.gateway.draw() % 1_000;
        self.call.aim * u32::try_from(spread).unwrap_or_default() / 1_000
    }

    /// Counts a refusal if the limit of an upstream of the service keeps a request from it, and
    /// returns whether it does.
    fn count_limit_refusal(&self, node: &Node) -> bool {
        let book = node.gateway.book.borrow();
        let is_held = book.is_held_by_limit(node.clock.now(), &self.call.service);
        if is_held {
            node.metrics.limit_refusals.inc();
        }
        is_held
    }

    /// Milliseconds since the budget granted the retry that is under way, if there is one.
    fn since_grant(&self, node: &Node) -> Option<u64> {
        let granted = self.permit.as_ref()?.granted();
        Some(node.clock.now().saturating_sub(granted).as_millis() as u64)
    }

    /// Charges the request to its reservation, because an upstream may now run it.
    fn consume_reservation(&mut self) {
        if let Some(reserved) = &mut self.reserved {
            reserved.use_up(self.tokens);
        }
    }

    /// Decides what follows an attempt that sent nothing to the caller. `Ok` means that the request is tried again;
    /// otherwise the refusal is for a caller to whom the upstream's own answer can't be passed on.
    fn decide_next_step(
        &mut self,
        node: &Node,
        end: AttemptEnd,
        retry_after: Option<Duration>,
        instance: Option<UpstreamId>,
    ) -> Result<(), Refusal> {
        self.tried += u32::from(end.is_counted_attempt());
        self.not_run &= end.is_known_not_run();
        self.call.may_have_run.set(!self.not_run);
        if self.not_run
            && let Some(reserved) = &mut self.reserved
        {
            reserved.use_up(0);
        }
        self.call.excluded.extend(instance);
        let mut asked = None;
        // Another attempt of a trial would take another upstream down.
        let is_lost_trial =
            end == AttemptEnd::Lost && node.parts.is_trial(node, &self.call.request);
        let budget = || {
            if is_lost_trial {
                return false;
            }
            let (grant, permit) = node
                .gateway
                .retries
                .try_retry(node, &self.call.service, end);
            asked = Some(grant);
            self.permit = permit.or(self.permit.take());
            grant.is_granted()
        };
        let step = NextStep::decide(&self.route, end, self.tried, self.not_run, budget);
        log::info!(
            request:% = self.call.request, end:? = end, tried = self.tried,
            attempts = self.route.attempts, not_run = self.not_run, step:? = step,
            grant:? = asked;
            "attempt ended"
        );
        if step == NextStep::Retry {
            node.metrics.retries.inc();
            return Ok(());
        }
        let refusal = match end {
            AttemptEnd::Quarantined => {
                let message = "another region refuses it, because upstreams went down under it";
                return Err(self.refusal(RefusalCode::Quarantined, message));
            }
            AttemptEnd::Departing => return Err(self.departing_refusal()),
            AttemptEnd::TimedOut => self.refusal(RefusalCode::Deadline, "no answer came in time"),
            _ if self.not_run => self.refusal(RefusalCode::Overloaded, "the upstream is full"),
            _ => self.refusal(RefusalCode::UpstreamFailed, "the upstream broke off"),
        };
        // A long pause of this upstream does not keep others from serving the caller.
        let delay = retry_after.map_or(UNCONFIRMED_RETRY, |delay| delay.min(MAX_SHED_RETRY));
        Err(refusal.with_retry_after(delay))
    }

    /// Builds a refusal that states whether an upstream may have run the request.
    fn refusal(&self, code: RefusalCode, message: &str) -> Refusal {
        self.with_run_state(Refusal::not_run(code, message))
    }

    /// Builds the refusal of a request whose answer would be cut off when this VM ends.
    fn departing_refusal(&self) -> Refusal {
        let message = "this VM is leaving; the answer would be cut off";
        self.refusal(RefusalCode::Draining, message)
            .with_retry_after(UNCONFIRMED_RETRY)
    }

    /// Adjusts the code and run state of a refusal if an upstream may have run the request.
    fn with_run_state(&self, mut refusal: Refusal) -> Refusal {
        if !self.not_run {
            refusal.run = RunState::Unknown;
            let tells_no_run = matches!(
                refusal.code,
                RefusalCode::Deadline | RefusalCode::Quarantined
            );
            if !tells_no_run {
                refusal.code = RefusalCode::UpstreamFailed;
            }
        }
        refusal
    }

    /// Time to wait for the first bytes of an answer. If the request can be retried, this is half
    /// of the remaining time, but not less than the first-byte target, so that a silent upstream
    /// costs half of the time instead of the answer.
    fn first_byte_wait(&self, left: Duration) -> Duration {
        let has_tries = self.route.is_repeatable() && self.tried + 1 < self.route.attempts;
        match has_tries {
            true => (left / 2).max(self.call.aim).min(left),
            false => left,
        }
    }
}
