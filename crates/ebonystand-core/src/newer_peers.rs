use {super::*, rand::RngExt, rand_pcg::Pcg64Mcg};

/// Peers that were lately heard to have a newer version of the configuration.
#[derive(Clone, Debug, Default)]
pub(crate) struct NewerPeers {
    peers: BTreeMap<VmId, (Version, Duration)>,
}

impl NewerPeers {
    /// Maximum number of peers; beyond it, the one with the lowest version is dropped.
    const CAPACITY: usize = 16;
    /// Time after which a peer that was not heard of again is dropped, as it may be out of reach.
    const MAX_AGE: Duration = Duration::from_secs(3);

    pub(crate) fn insert(&mut self, now: Duration, vm: VmId, version: Version) {
        self.peers.insert(vm, (version, now));
        while self.peers.len() > Self::CAPACITY {
            let oldest = self.peers.iter().min_by_key(|(_, (version, _))| *version);
            let Some(oldest) = oldest.map(|(vm, _)| vm.clone()) else {
                return;
            };
            self.peers.remove(&oldest);
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Returns a random peer.
    pub(crate) fn pick(&self, rng: &mut Pcg64Mcg) -> Option<VmId> {
        if self.peers.is_empty() {
            return None;
        }
        let index = rng.random_range(0..self.peers.len());
        self.peers.keys().nth(index).cloned()
    }

    pub(crate) fn remove(&mut self, vm: &str) {
        self.peers.remove(vm);
    }

    /// Drops the peers that are not newer than `version` or were not heard lately.
    pub(crate) fn retain(&mut self, now: Duration, version: Version) {
        self.peers.retain(|_, (newer, heard)| {
            *newer > version && now.saturating_sub(*heard) < Self::MAX_AGE
        });
    }
}
