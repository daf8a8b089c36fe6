use {super::*, rand::seq::SliceRandom, rand_pcg::Pcg64Mcg};

/// Selects the VM of the local region to probe next, and tracks the one open probe.
#[derive(Clone, Debug, Default)]
pub(crate) struct Prober {
    /// VMs that are still to be probed in this round.
    remaining: Vec<VmId>,
    probe: Option<Probe>,
}

/// Probe that has not been answered yet.
#[derive(Clone, Debug)]
struct Probe {
    indirect_probes_sent: bool,
    sent: Duration,
    target: VmRecordId,
}

impl Prober {
    /// Closes the open probe if it is of `vm`.
    pub(crate) fn record_answer(&mut self, vm: &VmId) {
        self.probe.take_if(|probe| probe.target.vm == *vm);
    }

    /// Returns the time when other VMs are to be asked to probe the target, unless they have been.
    pub(crate) fn indirect_probe_due(&self) -> Option<Duration> {
        let probe = self.probe.as_ref()?;
        (!probe.indirect_probes_sent).then_some(probe.sent + VmMembership::PROBE_TIMEOUT)
    }

    /// Returns the target that has not answered within [`VmMembership::PROBE_TIMEOUT`] and the time
    /// of the probe. Each probe is returned at most once.
    pub(crate) fn take_unanswered(&mut self, now: Duration) -> Option<(VmId, Duration)> {
        self.indirect_probe_due().filter(|due| *due <= now)?;
        let probe = self.probe.as_mut()?;
        probe.indirect_probes_sent = true;
        Some((probe.target.vm.clone(), probe.sent))
    }

    /// Opens a probe of the next VM of the round and returns that VM.
    pub(crate) fn start_next(
        &mut self,
        now: Duration,
        table: &VmTable,
        own: &VmRecord,
        rng: &mut Pcg64Mcg,
    ) -> Option<VmId> {
        if self.remaining.is_empty() {
            self.remaining = table.present_in_region(&own.region).to_vec();
            self.remaining.shuffle(rng);
        }
        while let Some(vm) = self.remaining.pop() {
            let entry = table.get(&vm).filter(|entry| !entry.is_dead());
            let Some(entry) = entry.filter(|_| vm != own.vm) else {
                continue;
            };
            self.probe = Some(Probe {
                indirect_probes_sent: false,
                sent: now,
                target: entry.record.id(),
            });
            return Some(vm);
        }
        None
    }

    /// Closes the open probe and returns its target if it has not answered.
    pub(crate) fn finish(&mut self) -> Option<VmRecordId> {
        self.probe.take().map(|probe| probe.target)
    }
}
