use {super::*, rand::RngExt, rand_pcg::Pcg64Mcg};

/// The VMs that a VM exchanges the configuration with.
#[derive(Clone, Debug)]
pub(crate) struct FeedPeers {
    far: Vec<VmId>,
    members: Vec<VmId>,
    near: Vec<VmId>,
    own: VmId,
}

impl FeedPeers {
    const ASKED_FAR: usize = 4;
    const ASKED_NEAR: usize = 8;
    /// One in so many of those that news is passed on to is of another region.
    const FAN_OUT_FAR: usize = 4;

    pub(crate) fn new(own: VmId, members: Vec<VmId>) -> Self {
        Self {
            far: Vec::new(),
            members,
            near: Vec::new(),
            own,
        }
    }

    /// Whom a starting VM asks: the log's members, and some of both regions' VMs.
    pub(crate) fn asked(&self, rng: &mut Pcg64Mcg) -> BTreeSet<VmId> {
        let mut asked: BTreeSet<VmId> = self.members.iter().cloned().collect();
        asked.extend(pick(&self.near, Self::ASKED_NEAR, rng));
        asked.extend(pick(&self.far, Self::ASKED_FAR, rng));
        asked.remove(&self.own);
        asked
    }

    /// `count` VMs that a VM passes news on to.
    pub(crate) fn fan_out(&self, count: usize, rng: &mut Pcg64Mcg) -> Vec<VmId> {
        let far_count = (count / Self::FAN_OUT_FAR).min(self.far.len());
        let mut to = pick(&self.near, count - far_count, rng);
        to.extend(pick(&self.far, count - to.len(), rng));
        to
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.far.is_empty() && self.near.is_empty()
    }

    /// Whether this VM is a member of the log.
    pub(crate) fn is_member(&self) -> bool {
        self.members.contains(&self.own)
    }

    pub(crate) fn set(&mut self, far: Vec<VmId>, near: Vec<VmId>) {
        self.far = far;
        self.near = near;
    }

    pub(crate) fn set_members(&mut self, members: Vec<VmId>) {
        self.members = members;
    }
}

/// Up to `count` different VMs.
fn pick(vms: &[VmId], count: usize, rng: &mut Pcg64Mcg) -> Vec<VmId> {
    let count = count.min(vms.len());
    let mut picked = BTreeSet::new();
    while picked.len() < count {
        picked.insert(rng.random_range(0..vms.len()));
    }
    picked.into_iter().map(|index| vms[index].clone()).collect()
}
