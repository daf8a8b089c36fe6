use {super::*, rand::RngExt, rand_pcg::Pcg64Mcg};

/// Live VMs and members of the log that a VM exchanges the configuration with.
#[derive(Clone, Debug)]
pub(crate) struct FeedPeers {
    far: Vec<VmId>,
    members: Vec<VmId>,
    near: Vec<VmId>,
    own: VmId,
}

impl FeedPeers {
    /// Number of VMs of other regions that a starting VM asks.
    const START_FAR: usize = 4;
    /// Number of VMs of its own region that a starting VM asks.
    const START_NEAR: usize = 8;
    /// Of this many peers that a message is pushed to, one is of another region.
    const FAR_DIVISOR: usize = 4;

    pub(crate) fn new(own: VmId, members: Vec<VmId>) -> Self {
        Self {
            far: Vec::new(),
            members,
            near: Vec::new(),
            own,
        }
    }

    /// Returns the VMs that a starting VM asks for their version: the log's members, and random VMs
    /// of this and other regions.
    pub(crate) fn pick_for_start(&self, rng: &mut Pcg64Mcg) -> BTreeSet<VmId> {
        let mut asked: BTreeSet<VmId> = self.members.iter().cloned().collect();
        asked.extend(pick(&self.near, Self::START_NEAR, rng));
        asked.extend(pick(&self.far, Self::START_FAR, rng));
        asked.remove(&self.own);
        asked
    }

    /// Returns up to `count` random VMs to push a message to.
    pub(crate) fn pick_for_fan_out(&self, count: usize, rng: &mut Pcg64Mcg) -> Vec<VmId> {
        let far_count = (count / Self::FAR_DIVISOR).min(self.far.len());
        let mut to = pick(&self.near, count - far_count, rng);
        to.extend(pick(&self.far, count - to.len(), rng));
        to
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.far.is_empty() && self.near.is_empty()
    }

    /// Returns whether this VM is a member of the log.
    pub(crate) fn is_member(&self) -> bool {
        self.members.contains(&self.own)
    }

    /// Sets the live VMs of other regions and of this one.
    pub(crate) fn set_live(&mut self, far: Vec<VmId>, near: Vec<VmId>) {
        self.far = far;
        self.near = near;
    }

    pub(crate) fn set_members(&mut self, members: Vec<VmId>) {
        self.members = members;
    }
}

/// Returns up to `count` different random VMs.
fn pick(vms: &[VmId], count: usize, rng: &mut Pcg64Mcg) -> Vec<VmId> {
    let count = count.min(vms.len());
    let mut picked = BTreeSet::new();
    while picked.len() < count {
        picked.insert(rng.random_range(0..vms.len()));
    }
    picked.into_iter().map(|index| vms[index].clone()).collect()
}
