use {super::*, rand::RngExt, rand_pcg::Pcg64Mcg, xxhash_rust::xxh3::xxh3_64_with_seed};

/// Table of the newest known record of each VM, with digests over buckets of records.
///
/// Tables that hold equal records have equal digests. Dead VMs are left out of the digests, since
/// each VM forgets them at another time.
#[derive(Clone, Debug)]
pub(crate) struct VmTable {
    /// Names of the VMs in each bucket, dead ones included.
    buckets: Vec<Vec<VmId>>,
    /// XOR of the hashes of the records in each bucket, dead VMs left out.
    digests: Vec<u16>,
    entries: BTreeMap<VmId, VmEntry>,
    /// Names of the VMs of each region that are not dead.
    present: BTreeMap<RegionId, Vec<VmId>>,
    /// Number that grows with each change of the table.
    revision: u64,
}

impl Default for VmTable {
    fn default() -> Self {
        Self {
            buckets: vec![Vec::new(); Self::BUCKETS],
            digests: vec![0; Self::BUCKETS],
            entries: BTreeMap::new(),
            present: BTreeMap::new(),
            revision: 0,
        }
    }
}

impl VmTable {
    /// Number of buckets. With 2,200 VMs a bucket holds about nine records, which one datagram
    /// carries.
    pub(crate) const BUCKETS: usize = 256;
    /// Maximum number of VMs in the table: four times the size that the system is designed for.
    pub(crate) const CAPACITY: usize = 8_800;

    /// Returns the digests of all buckets, two little-endian bytes each.
    pub(crate) fn digests(&self) -> Box<[u8]> {
        self.digests
            .iter()
            .flat_map(|digest| digest.to_le_bytes())
            .collect()
    }

    /// Returns the buckets whose digest differs from that of another table; a bucket that is
    /// missing in `digests` counts as differing.
    pub(crate) fn differing_buckets(&self, digests: &[u8]) -> Vec<usize> {
        let other = |bucket: usize| digests.get(2 * bucket..2 * bucket + 2);
        (0..Self::BUCKETS)
            .filter(|bucket| other(*bucket) != Some(self.digests[*bucket].to_le_bytes().as_slice()))
            .collect()
    }

    pub(crate) fn entries(&self) -> impl Iterator<Item = &VmEntry> {
        self.entries.values()
    }

    /// Forgets the VMs that were declared dead before `limit`.
    pub(crate) fn forget_dead_before(&mut self, limit: Duration) {
        let is_overdue =
            |entry: &&VmEntry| matches!(entry.state, VmState::Dead { since } if since < limit);
        let overdue: Vec<_> = self.entries.values().filter(is_overdue).cloned().collect();
        for entry in overdue {
            self.revision += 1;
            self.remove(&entry);
        }
    }

    pub(crate) fn get(&self, vm: &str) -> Option<&VmEntry> {
        self.entries.get(vm)
    }

    pub(crate) fn get_mut(&mut self, vm: &str) -> Option<&mut VmEntry> {
        self.revision += 1;
        self.entries.get_mut(vm)
    }

    /// Merges an update into the table, and returns whether it was new.
    pub(crate) fn merge(&mut self, now: Duration, update: &MembershipUpdate) -> bool {
        let fresh = match update {
            MembershipUpdate::Alive(record) => self.merge_alive(record),
            MembershipUpdate::Dead(id) => self.merge_state(id, VmState::Dead { since: now }),
            MembershipUpdate::Suspect(id) => self.merge_state(id, VmState::Suspect { since: now }),
        };
        self.revision += u64::from(fresh);
        fresh
    }

    /// Returns a random VM of `region` that is not dead.
    pub(crate) fn pick_in_region(&self, region: &str, rng: &mut Pcg64Mcg) -> Option<&VmEntry> {
        let present = self.present.get(region)?;
        if present.is_empty() {
            return None;
        }
        self.get(&present[rng.random_range(0..present.len())])
    }

    /// Returns a random VM of any region that is not dead.
    pub(crate) fn pick_any(&self, rng: &mut Pcg64Mcg) -> Option<&VmEntry> {
        let count: usize = self.present.values().map(Vec::len).sum();
        if count == 0 {
            return None;
        }
        let mut index = rng.random_range(0..count);
        for present in self.present.values() {
            if let Some(vm) = present.get(index) {
                return self.get(vm);
            }
            index -= present.len();
        }
        None
    }

    /// Returns the VMs of `region` that are not dead.
    pub(crate) fn present_in_region(&self, region: &str) -> &[VmId] {
        self.present.get(region).map_or(&[], Vec::as_slice)
    }

    /// Returns the number of VMs that are not dead.
    pub(crate) fn present_count(&self) -> usize {
        self.present.values().map(Vec::len).sum()
    }

    /// Iterates over the regions that have, or once had, a VM.
    pub(crate) fn regions(&self) -> impl Iterator<Item = &RegionId> {
        self.present.keys()
    }

    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns an update for each record of a bucket.
    pub(crate) fn bucket_updates(&self, bucket: usize) -> Vec<MembershipUpdate> {
        self.buckets[bucket]
            .iter()
            .filter_map(|vm| self.entries.get(vm))
            .map(|entry| match entry.state {
                VmState::Dead { .. } => MembershipUpdate::Dead(entry.record.id()),
                VmState::Alive | VmState::Suspect { .. } => {
                    MembershipUpdate::Alive(entry.record.clone())
                }
            })
            .collect()
    }

    fn remove_present(&mut self, region: &str, vm: &str) {
        if let Some(present) = self.present.get_mut(region) {
            present.retain(|other| &**other != vm);
        }
    }

    /// Stores `record` if it is newer than the known one, and returns whether it was. Of an equal
    /// record only a higher configuration version is taken over.
    fn merge_alive(&mut self, record: &VmRecord) -> bool {
        let vm = &record.vm;
        let Some(entry) = self.entries.get_mut(vm) else {
            if self.entries.len() >= Self::CAPACITY {
                return false;
            }
            self.insert(record.clone(), false);
            return true;
        };
        if record.epoch() <= entry.record.epoch() {
            let same = record.epoch() == entry.record.epoch();
            if same && record.version > entry.record.version {
                entry.record.version = record.version;
            }
            return false;
        }
        let same_incarnation = record.incarnation == entry.record.incarnation;
        let hinted_leaving = entry.hinted_leaving && same_incarnation;
        let old = entry.clone();
        self.remove(&old);
        self.insert(record.clone(), hinted_leaving);
        true
    }

    fn insert(&mut self, record: VmRecord, hinted_leaving: bool) {
        let vm = record.vm.clone();
        self.toggle_digest(&record.id());
        let present = self.present.entry(record.region.clone()).or_default();
        present.push(vm.clone());
        let entry = VmEntry {
            hinted_leaving,
            record,
            state: VmState::Alive,
        };
        self.store(vm, entry);
    }

    /// Merges a suspicion or a death, and returns whether it was new. It counts only if it concerns
    /// a record at least as new as the known one.
    fn merge_state(&mut self, id: &VmRecordId, state: VmState) -> bool {
        let Some(entry) = self.entries.get(&id.vm) else {
            return false;
        };
        if id.epoch() < entry.record.epoch()
            || entry.is_dead() && id.epoch() == entry.record.epoch()
        {
            return false;
        }
        let suspect = matches!(state, VmState::Suspect { .. });
        if suspect && id.epoch() == entry.record.epoch() && entry.state != VmState::Alive {
            return false;
        }
        let mut entry = entry.clone();
        self.remove(&entry);
        entry.record.heartbeat = id.heartbeat;
        entry.record.incarnation = id.incarnation;
        if suspect {
            self.insert(entry.record, entry.hinted_leaving);
            if let Some(entry) = self.entries.get_mut(&id.vm) {
                entry.state = state;
            }
            return true;
        }
        entry.state = state;
        self.store(id.vm.clone(), entry);
        true
    }

    fn store(&mut self, vm: VmId, entry: VmEntry) {
        self.buckets[bucket(&vm)].push(vm.clone());
        self.entries.insert(vm, entry);
    }

    fn remove(&mut self, entry: &VmEntry) {
        if !entry.is_dead() {
            self.toggle_digest(&entry.record.id());
            self.remove_present(&entry.record.region, &entry.record.vm);
        }
        let vm = &entry.record.vm;
        self.buckets[bucket(vm)].retain(|other| other != vm);
        self.entries.remove(vm);
    }

    /// Adds a record to the digest of its bucket, or removes it from there; XOR does either.
    fn toggle_digest(&mut self, id: &VmRecordId) {
        let seed = id.incarnation.rotate_left(32) ^ id.heartbeat;
        let digest = xxh3_64_with_seed(id.vm.as_bytes(), seed) as u16;
        self.digests[bucket(&id.vm)] ^= digest;
    }
}

/// Returns the bucket that holds the record of `vm`.
fn bucket(vm: &str) -> usize {
    xxhash_rust::xxh3::xxh3_64(vm.as_bytes()) as usize % VmTable::BUCKETS
}
