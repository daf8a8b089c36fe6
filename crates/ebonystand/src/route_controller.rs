use super::*;
use {
    ebonystand_core::{
        AnswerPause, DispatchEnd, LoadReport, Place, Preset, RetryGrant, Retryable, Route,
        RouteQuery, Router, Target,
    },
    node::Node,
    retry_permit::{RetryPermit, SharedRetryBudget},
    std::collections::BTreeSet,
};

/// Holds the router and feeds it with what upstreams report.
pub(crate) struct RouteController {
    retries: SharedRetryBudget,
    router: RefCell<Router>,
    turn: Cell<usize>,
    views: RefCell<FxHashMap<UpstreamId, UpstreamView>>,
}

/// What the status page and the queue need of an upstream.
#[derive(Clone, Debug, Default)]
pub(crate) struct UpstreamView {
    pub(crate) in_flight: u64,
    pub(crate) report: Option<ReportView>,
}

/// What an upstream last said of its load.
#[derive(Clone, Debug)]
pub(crate) struct ReportView {
    pub(crate) at: Duration,
    pub(crate) load: u64,
    pub(crate) slots: u32,
}

/// What an upstream answers to a question for its load.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct ReportedLoad {
    age_ms: u64,
    queued_tokens: Tokens,
    running: u32,
    slots: u32,
    waiting: u32,
}

impl RouteController {
    /// Upstreams asked at a time, at most.
    const POLLED: usize = 16;
    /// Of these, those of other regions while the own region has as many itself.
    const POLLED_FAR: usize = 4;
    const POLL_INTERVAL: Duration = Duration::from_millis(500);
    const POLL_TIMEOUT: Duration = Duration::from_millis(400);

    pub(crate) fn configure(&self, now: Duration, document: &Document) {
        self.router.borrow_mut().configure(now, document);
    }

    pub(crate) fn confirm(&self, now: Duration, query: &RouteQuery, upstream: &str) -> bool {
        self.router.borrow().can_dispatch(now, query, upstream)
    }

    pub(crate) fn finished(&self, now: Duration, upstream: &str, end: DispatchEnd) {
        self.router
            .borrow_mut()
            .record_dispatch_end(now, upstream, end);
        if let Some(view) = self.views.borrow_mut().get_mut(upstream) {
            view.in_flight = view.in_flight.saturating_sub(1);
        }
    }

    /// Asks the retry budget for another attempt.
    pub(crate) fn try_retry(
        &self,
        now: Duration,
        retryable: Retryable,
        preset: &Preset,
    ) -> (RetryGrant, Option<RetryPermit>) {
        RetryPermit::request(&self.retries, now, retryable, preset)
    }

    pub(crate) fn new(here: Place, seed: u64) -> Self {
        Self {
            retries: SharedRetryBudget::default(),
            router: RefCell::new(Router::new(here, seed)),
            turn: Cell::new(0),
            views: RefCell::default(),
        }
    }

    pub(crate) fn on_request(&self, now: Duration, preset: &Preset) {
        self.retries.borrow_mut().record_request(now, preset);
    }

    pub(crate) fn route(&self, now: Duration, query: &RouteQuery) -> Result<Route, Refusal> {
        self.router.borrow_mut().route(now, query)
    }

    /// Records the pause that an upstream asks for in an answer.
    pub(crate) fn record_pause(&self, now: Duration, upstream: &str, pause: &AnswerPause) {
        match pause {
            AnswerPause::Absent => {}
            AnswerPause::Invalid(error) => {
                log::warn!(upstream:% = upstream, error:% = error; "pause of an upstream ignored");
            }
            AnswerPause::Requested(pause) => {
                let mut router = self.router.borrow_mut();
                if router.record_pause(now, upstream, *pause) {
                    let pause_ms = pause.as_millis() as u64;
                    log::info!(upstream:% = upstream, pause_ms = pause_ms; "upstream asks for a pause");
                }
            }
        }
    }

    /// Asks the upstreams for their load until the task is dropped.
    pub(crate) async fn run(node: Rc<Node>) {
        loop {
            Self::poll_all(&node);
            actix_rt::time::sleep(Self::POLL_INTERVAL).await;
        }
    }

    /// Tells how many VMs of the region share its links.
    pub(crate) fn share_links(&self, vms: u32) {
        self.router.borrow_mut().set_sharing_vms(vms);
    }

    /// Dispatches to models that this VM should have under way at a time; `None` while no engine
    /// says how many it can run.
    pub(crate) fn slots(&self, now: Duration, document: &Document) -> Option<u32> {
        let views = self.views.borrow();
        let mut reports = views.values().filter_map(|view| view.report.as_ref());
        if !reports.any(|report| report.slots > 0) {
            return None;
        }
        let router = self.router.borrow();
        let targets = document.upstreams.values().flat_map(|u| u.kind.targets());
        let models = targets.filter(|target| matches!(target, Target::Model(_)));
        let models = models.collect::<BTreeSet<_>>();
        models
            .iter()
            .map(|model| router.dispatch_slots(now, model))
            .max()
    }

    pub(crate) fn started(&self, now: Duration, upstream: &UpstreamId, work: Tokens) {
        self.router
            .borrow_mut()
            .record_dispatch(now, upstream, work);
        let mut views = self.views.borrow_mut();
        views.entry(upstream.clone()).or_default().in_flight += 1;
    }

    /// What is known of an upstream.
    pub(crate) fn view(&self, upstream: &UpstreamId) -> UpstreamView {
        let views = self.views.borrow();
        views.get(upstream).cloned().unwrap_or_default()
    }

    fn forget_absent(&self, document: &Document) {
        let mut views = self.views.borrow_mut();
        views.retain(|id, view| view.in_flight > 0 || document.upstreams.contains_key(id));
    }

    /// Asks the next upstreams in turn. How many is bounded: with thousands of upstreams in the
    /// configuration each VM would otherwise spend a quarter of a core on asking them, loaded or
    /// not. Three quarters of the questions go to the own region, where most requests go.
    fn poll_all(node: &Rc<Node>) {
        let document = node.document();
        let is_near = |upstream: &Upstream| upstream.region == node.settings.region;
        let (near, far): (Vec<_>, Vec<_>) = document
            .upstreams
            .iter()
            .partition(|(_, upstream)| is_near(upstream));
        let far_count = far.len().min(
            Self::POLLED
                .saturating_sub(near.len())
                .max(Self::POLLED_FAR),
        );
        let near_count = near.len().min(Self::POLLED - far_count);
        let turn = node.routes.turn.get();
        node.routes.turn.set(turn.wrapping_add(1));
        let near = near
            .iter()
            .cycle()
            .skip(turn * near_count % near.len().max(1));
        let far = far.iter().cycle().skip(turn * far_count % far.len().max(1));
        for (id, upstream) in near.take(near_count).chain(far.take(far_count)) {
            let (node, id, address) = (Rc::clone(node), (*id).clone(), upstream.address);
            actix_rt::spawn(async move { node.routes.poll(&node, &id, address).await });
        }
        node.routes.forget_absent(&document);
    }

    async fn poll(&self, node: &Node, id: &UpstreamId, address: SocketAddr) {
        if self.router.borrow().is_paused(node.clock.now(), id) {
            return;
        }
        let url = format!("http://{address}/load");
        let req = node
            .clients
            .current()
            .client
            .get(url)
            .timeout(Self::POLL_TIMEOUT)
            .send();
        // An upstream that does not say keeps its last report, which the router ages.
        let Ok(mut response) = req.await else { return };
        let Ok(body) = response.body().await else {
            return;
        };
        let Ok(load) = serde_json::from_slice::<ReportedLoad>(&body) else {
            return;
        };
        let now = node.clock.now();
        let view = ReportView {
            at: now,
            load: u64::from(load.running) + u64::from(load.waiting),
            slots: load.slots,
        };
        self.views
            .borrow_mut()
            .entry(id.clone())
            .or_default()
            .report = Some(view);
        let report = LoadReport {
            age: Duration::from_millis(load.age_ms),
            queued_tokens: load.queued_tokens,
            running: load.running,
            slots: load.slots,
            waiting: load.waiting,
        };
        self.router.borrow_mut().record_load_report(now, id, report);
    }
}
