use super::*;

/// Live VMs of the own region, from which VMs derive without a message which of them send to a cold
/// upstream.
#[derive(Clone, Debug)]
pub struct LiveVms {
    own: VmId,
    all: Vec<VmId>,
}

impl LiveVms {
    /// Most VMs that send to one cold upstream. Each spaces its requests on its own, so any second
    /// can have one request more per VM than the VM's share of the rate. With three VMs, that stays
    /// below one and a half times the rate plus three, which cold engines tolerate; with more,
    /// requests of several VMs that coincide would exceed it.
    const MAX_COLD_SENDERS: usize = 3;

    /// Creates the set with this VM as its only member.
    #[must_use]
    pub fn new(own: VmId) -> Self {
        let all = vec![own.clone()];
        Self { own, all }
    }

    /// Replaces the live VMs. This VM is always a member, even if `live` lacks it.
    pub fn update_live(&mut self, live: impl IntoIterator<Item = VmId>) {
        self.all = live.into_iter().filter(|vm| *vm != self.own).collect();
        self.all.push(self.own.clone());
        self.all.sort_unstable();
    }

    /// Returns the number of VMs that send to `upstream` while it is cold; `None` if this VM is not
    /// one of them. VMs with equal views agree without a message, and different upstreams get
    /// different senders.
    pub(crate) fn cold_sender_count(&self, upstream: &str) -> Option<u32> {
        let weight = |vm: &VmId| RendezvousHash::new(xxh3_64(upstream.as_bytes())).weight(vm);
        let own = weight(&self.own);
        let ahead = self.all.iter().filter(|vm| weight(vm) > own).count();
        let senders = self.all.len().min(Self::MAX_COLD_SENDERS);
        (ahead < senders).then_some(senders as u32)
    }
}
