use super::*;
use {
    ebonystand_core::ProbeOutcome,
    futures_util::future::{join_all, select_ok},
    node::Node,
};

/// Finds out whether this VM has lost its path to the upstreams of a service, by connections to
/// several of them.
pub(crate) struct PathWatch;

impl PathWatch {
    /// Longest time to open a connection: several round trips within a region.
    const CONNECT_TIME: Duration = Duration::from_millis(400);
    /// Time for which a connection must stay open.
    const STAY_TIME: Duration = Duration::from_millis(100);
    /// Time between two rounds of probes while the path is cut.
    const PROBE_INTERVAL: Duration = Duration::from_millis(500);

    /// Starts probes after a failed attempt, unless some run or have just succeeded.
    pub(crate) fn suspect(node: &Rc<Node>, service: &ServiceId) {
        let now = node.clock.now();
        if node.gateway.book.borrow_mut().suspect_path(now, service) {
            actix_rt::spawn(Self::probe(Rc::clone(node), service.clone()));
        }
    }

    /// Whether other upstreams of the service than `except` refuse connections as well.
    pub(crate) async fn others_refuse(node: &Node, service: &str, except: &[UpstreamId]) -> bool {
        let targets = Self::targets(node, service, except);
        let opened = targets
            .into_iter()
            .map(|address| Connection::open(address, Self::CONNECT_TIME));
        let opened = join_all(opened).await;
        let is_refused = |opened: &Result<Connection, ConnectionFault>| matches!(opened, Err(fault) if fault.is_refused());
        !opened.is_empty() && opened.iter().all(is_refused)
    }

    /// Probes until the path is not cut, or no longer.
    async fn probe(node: Rc<Node>, service: ServiceId) {
        loop {
            let targets = Self::targets(&node, &service, &[]);
            let is_reached = targets.is_empty() || Self::reaches_any(targets).await;
            match Self::record(&node, &service, is_reached) {
                ProbeOutcome::Regained | ProbeOutcome::Sound => return,
                ProbeOutcome::Lost | ProbeOutcome::StillCut => {}
            }
            let wait = Self::PROBE_INTERVAL.mul_f64(node.gateway.jitter());
            actix_rt::time::sleep(wait).await;
        }
    }

    fn record(node: &Rc<Node>, service: &ServiceId, is_reached: bool) -> ProbeOutcome {
        let now = node.clock.now();
        let mut book = node.gateway.book.borrow_mut();
        let outcome = book.record_probe(now, service, is_reached);
        let cut = book.cut_services().count();
        let addresses = book.local_addresses(service);
        let services = book.local_services();
        drop(book);
        node.metrics.cut_services.set(cut as i64);
        match outcome {
            ProbeOutcome::Lost => {
                log::warn!(service:% = service, upstreams = addresses.len(); "path to the upstreams of a service lost");
                // Connections that were open before may be silent for good.
                for address in addresses {
                    node.gateway.pool.close_idle(address);
                }
                for other in services.iter().filter(|other| *other != service) {
                    Self::suspect(node, other);
                }
            }
            ProbeOutcome::Regained => {
                log::info!(service:% = service; "path to the upstreams of a service regained");
            }
            ProbeOutcome::Sound | ProbeOutcome::StillCut => {}
        }
        outcome
    }

    fn targets(node: &Node, service: &str, except: &[UpstreamId]) -> Vec<SocketAddr> {
        let draw = node.gateway.draw();
        let book = node.gateway.book.borrow();
        book.probe_targets(service, except, draw)
    }

    async fn reaches_any(targets: Vec<SocketAddr>) -> bool {
        let probes = targets.into_iter().map(|address| {
            Box::pin(async move {
                let connection = Connection::open(address, Self::CONNECT_TIME).await;
                match connection {
                    Ok(connection) if connection.stays_open(Self::STAY_TIME).await => Ok(()),
                    _ => Err(()),
                }
            })
        });
        select_ok(probes).await.is_ok()
    }
}
