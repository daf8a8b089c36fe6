use super::*;

/// The live VMs of the own region, as far as what they do together depends on who they are.
#[derive(Clone, Debug)]
pub struct RegionVms {
    own: VmId,
    all: Vec<VmId>,
}

impl RegionVms {
    /// VMs that send to one cold upstream. Each sends in turns of its own, so that any second has at
    /// most one request more of each of them than its part of the rate. With three, that and the
    /// rate stay under one and a half times the rate and three, which cold engines bear; with more,
    /// VMs that come together would pass it.
    const COLD_SENDERS: usize = 3;

    /// This VM, as yet alone.
    #[must_use]
    pub fn new(own: VmId) -> Self {
        let all = vec![own.clone()];
        Self { own, all }
    }

    /// Takes over which VMs live. This one does, whatever they say.
    pub fn set(&mut self, live: impl IntoIterator<Item = VmId>) {
        self.all = live.into_iter().filter(|vm| *vm != self.own).collect();
        self.all.push(self.own.clone());
        self.all.sort_unstable();
    }

    /// VMs that send to this upstream while it is cold; `None` if this one is not among them. VMs
    /// with equal views agree without a message, and different upstreams have different senders.
    pub(crate) fn cold_senders(&self, upstream: &str) -> Option<u32> {
        let weight = |vm: &VmId| RendezvousHash::new(xxh3_64(upstream.as_bytes())).weight(vm);
        let own = weight(&self.own);
        let ahead = self.all.iter().filter(|vm| weight(vm) > own).count();
        let senders = self.all.len().min(Self::COLD_SENDERS);
        (ahead < senders).then_some(senders as u32)
    }
}
