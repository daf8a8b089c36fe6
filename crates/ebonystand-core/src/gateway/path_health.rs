use super::*;

/// Knows of which services this VM has lost its own path to the upstreams, while other VMs of the
/// region may still reach them.
///
/// Failed requests do not tell: an upstream may have crashed, and kept connections may live on while
/// new ones are refused. They only raise the suspicion, which probes of several upstreams settle.
#[derive(Clone, Debug, Default)]
pub(crate) struct PathHealth {
    paths: BTreeMap<ServiceId, Path>,
}

/// What a round of probes says of the path to the upstreams of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProbeOutcome {
    /// The path is found cut.
    Lost,
    /// The path is back.
    Regained,
    /// The path is not cut.
    Sound,
    /// The path stays cut.
    StillCut,
}

/// Path of this VM to the upstreams of a service.
#[derive(Clone, Debug, Default)]
struct Path {
    is_cut: bool,
    is_probed: bool,
    /// Rounds of probes in a row that have reached an upstream.
    reached_rounds: u32,
    /// Time before which a suspicion starts no probes.
    rests_until: Duration,
}

impl PathHealth {
    /// Time after a successful probe in which further failures start none.
    const PROBE_REST: Duration = Duration::from_millis(500);
    /// Successful rounds of probes after which a cut path counts as back.
    const ROUNDS_TO_RETURN: u32 = 2;

    /// Returns whether this VM cannot open connections to the upstreams of a service.
    pub(crate) fn is_cut(&self, service: &str) -> bool {
        self.paths.get(service).is_some_and(|path| path.is_cut)
    }

    /// Returns whether failures of this VM may be those of its own path.
    pub(crate) fn is_suspect(&self, service: &str) -> bool {
        let path = self.paths.get(service);
        path.is_some_and(|path| path.is_cut || path.is_probed)
    }

    /// Raises the suspicion that the path is cut, and returns whether probes are to be started.
    pub(crate) fn suspect(&mut self, now: Duration, service: &str) -> bool {
        let path = self.paths.entry(service.into()).or_default();
        let starts = !path.is_probed && now >= path.rests_until;
        path.is_probed |= starts;
        starts
    }

    /// Records whether a round of probes has reached an upstream, and returns what follows. A cut path
    /// counts as back only after several rounds, so that requests are not lost on one that flaps.
    pub(crate) fn record_probe(
        &mut self,
        now: Duration,
        service: &str,
        is_reached: bool,
    ) -> ProbeOutcome {
        let path = self.paths.entry(service.into()).or_default();
        path.reached_rounds = match is_reached {
            true => path.reached_rounds + 1,
            false => 0,
        };
        let was_cut = path.is_cut;
        path.is_cut = match is_reached {
            true => was_cut && path.reached_rounds < Self::ROUNDS_TO_RETURN,
            false => true,
        };
        path.is_probed = path.is_cut;
        if is_reached && !was_cut {
            path.rests_until = now + Self::PROBE_REST;
        }
        match (was_cut, path.is_cut) {
            (false, true) => ProbeOutcome::Lost,
            (true, true) => ProbeOutcome::StillCut,
            (true, false) => ProbeOutcome::Regained,
            (false, false) => ProbeOutcome::Sound,
        }
    }

    /// Returns the services whose upstreams this VM does not reach.
    pub(crate) fn cut_services(&self) -> impl Iterator<Item = &ServiceId> {
        let cut = self.paths.iter().filter(|(_, path)| path.is_cut);
        cut.map(|(service, _)| service)
    }
}
