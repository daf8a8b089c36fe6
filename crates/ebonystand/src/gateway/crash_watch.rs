use super::*;
use {
    ebonystand_core::{LostRun, PromptPartId},
    node::Node,
    path_watch::PathWatch,
    request_content::RequestContent,
    std::collections::VecDeque,
};

/// Finds out whether an upstream went down when connections to it ended during a run, and reports
/// that to the quarantine.
///
/// A connection that has ended alone does not tell: the network, a faulty answer or the upstream's own limit
/// on connections break them too. An upstream that has gone down refuses new connections.
#[derive(Default)]
pub(crate) struct CrashWatch {
    /// Upstreams that were found to have gone down, in the order of that.
    down: RefCell<VecDeque<(Duration, UpstreamId)>>,
    /// Runs that await the check of their upstream. One check serves all runs that end together.
    ended: RefCell<FxHashMap<UpstreamId, Vec<EndedRun>>>,
}

/// A run that ended with its connection.
pub(crate) struct EndedRun {
    pub(crate) content: RequestContent,
    /// Whether the upstream had begun the answer.
    pub(crate) has_begun: bool,
    /// Whether the upstream had answered for long enough to have survived the prompt.
    pub(crate) has_survived: bool,
    /// Whether the answer has certainly broken off.
    pub(crate) is_lost: bool,
    /// Whether the run was permitted as a trial of suspected parts.
    pub(crate) is_trial: bool,
    /// Parts of the prompt that other prompts may share.
    pub(crate) parts: Box<[PromptPartId]>,
    pub(crate) request: Box<str>,
}

impl EndedRun {
    /// Builds what the quarantine of parts is told of the run.
    fn lost(&self) -> LostRun {
        LostRun {
            fingerprint: self.content.fingerprint(),
            is_trial: self.is_trial,
            parts: self.parts.to_vec(),
        }
    }
}

impl CrashWatch {
    /// Time for which an upstream that has gone down is not asked whether the path is gone.
    const DOWN_DURATION: Duration = Duration::from_secs(10);
    /// Longest time to wait until the upstream accepts or refuses a connection.
    const CONNECT_TIME: Duration = Duration::from_millis(250);

    /// Checks the upstream of a run that ended with its connection.
    pub(crate) fn check(
        node: &Rc<Node>,
        service: &ServiceId,
        upstream: &UpstreamId,
        address: SocketAddr,
        run: EndedRun,
    ) {
        if node.gateway.book.borrow().is_end_expected(upstream) {
            return;
        }
        let mut ended = node.gateway.crashes.ended.borrow_mut();
        let runs = ended.entry(upstream.clone()).or_default();
        runs.push(run);
        if runs.len() == 1 {
            let node = Rc::clone(node);
            let (service, upstream) = (service.clone(), upstream.clone());
            actix_rt::spawn(Self::probe(node, service, upstream, address));
        }
    }

    async fn probe(node: Rc<Node>, service: ServiceId, upstream: UpstreamId, address: SocketAddr) {
        let opened = Connection::open(address, Self::CONNECT_TIME).await;
        let is_refused = opened.is_err_and(|fault| fault.is_refused());
        let is_down = is_refused && !Self::is_path_gone(&node, &service, &upstream).await;
        let runs = node.gateway.crashes.ended.borrow_mut().remove(&upstream);
        let runs = runs.unwrap_or_default();
        if is_down {
            node.gateway.crashes.record_down(&node, &upstream);
            let lost = runs.iter().filter(|run| !run.has_survived);
            let lost = lost.map(EndedRun::lost).collect();
            node.parts.report_loss(&node, &service, &upstream, lost);
        }
        for EndedRun {
            content,
            has_begun,
            is_lost,
            is_trial,
            parts,
            request,
            ..
        } in runs
        {
            let fingerprint = content.fingerprint();
            log::warn!(
                request:% = request, upstream:% = upstream, is_down = is_down, is_lost = is_lost,
                fingerprint:% = format_args!("{fingerprint:032x}"), has_begun = has_begun, is_trial = is_trial, parts:% = part_names(&parts);
                "connection to an upstream ended with a run"
            );
            if is_down {
                node.quarantine.report_crash(&node, fingerprint, &upstream);
            } else if !is_lost {
                node.quarantine.record_survival(&node, || fingerprint);
            }
        }
    }

    /// Whether the other upstreams of the service refuse connections as well, so that it is the path there that is gone. Those
    /// that are known to be down tell nothing of the path.
    async fn is_path_gone(node: &Node, service: &str, upstream: &UpstreamId) -> bool {
        let mut except = node.gateway.crashes.recently_down(node);
        except.push(upstream.clone());
        PathWatch::others_refuse(node, service, &except).await
    }

    fn recently_down(&self, node: &Node) -> Vec<UpstreamId> {
        let now = node.clock.now();
        let down = self.down.borrow();
        let recent = down
            .iter()
            .filter(|(at, _)| now < *at + Self::DOWN_DURATION);
        recent.map(|(_, upstream)| upstream.clone()).collect()
    }

    fn record_down(&self, node: &Node, upstream: &UpstreamId) {
        let now = node.clock.now();
        let mut down = self.down.borrow_mut();
        down.retain(|(at, _)| now < *at + Self::DOWN_DURATION);
        down.push_back((now, upstream.clone()));
    }
}

/// Formats parts of a prompt, for log lines.
fn part_names(parts: &[PromptPartId]) -> Box<str> {
    let names = parts.iter().map(|part| format!("{part:x}"));
    names.collect::<Vec<_>>().join(" ").into()
}
