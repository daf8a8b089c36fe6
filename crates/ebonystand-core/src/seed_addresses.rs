use {super::*, rand::RngExt, rand_pcg::Pcg64Mcg};

/// Addresses where VMs may be reached, from the settings and from the platform's list.
#[derive(Clone, Debug)]
pub(crate) struct SeedAddresses {
    addresses: VecDeque<SocketAddr>,
    own: SocketAddr,
}

impl SeedAddresses {
    const CAPACITY: usize = 64;

    pub(crate) fn new(own: SocketAddr, addresses: Vec<SocketAddr>) -> Self {
        Self {
            addresses: addresses.into(),
            own,
        }
    }

    /// Adds an address, and drops the oldest one beyond the capacity.
    pub(crate) fn add(&mut self, address: SocketAddr) {
        if self.addresses.contains(&address) {
            return;
        }
        self.addresses.push_back(address);
        if self.addresses.len() > Self::CAPACITY {
            self.addresses.pop_front();
        }
    }

    /// Returns a random address other than that of this VM.
    pub(crate) fn pick(&self, rng: &mut Pcg64Mcg) -> Option<SocketAddr> {
        let others: Vec<_> = self.others().collect();
        if others.is_empty() {
            return None;
        }
        Some(others[rng.random_range(0..others.len())])
    }

    /// Returns the addresses at which no known VM listens.
    pub(crate) fn unknown_addresses(&self, table: &VmTable) -> Vec<SocketAddr> {
        let peers: BTreeSet<_> = table.entries().map(|entry| entry.record.peer).collect();
        self.others()
            .filter(|address| !peers.contains(address))
            .collect()
    }

    fn others(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let addresses = self.addresses.iter().copied();
        addresses.filter(|address| *address != self.own)
    }
}
