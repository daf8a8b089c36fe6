use super::*;

/// Choice of the VM that schedules each engine of a region.
///
/// VMs with equal views of the region agree on it without a message. Where views differ, a VM schedules
/// any engine that others ask it for.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SlotPlan {
    groups: FxHashMap<UpstreamKey, SlotGroup>,
    schedulers: BTreeMap<SlotGroup, VmId>,
}

impl SlotPlan {
    /// Slots of a group: enough engines to choose from, and some hundred requests a second for a scheduler.
    pub const GROUP_SLOTS: u32 = 48;
    /// Seed of the rendezvous hashing that assigns engines to groups.
    const ENGINE_SEED: u64 = 2;
    /// Seed of the rendezvous hashing that assigns groups to VMs.
    const VM_SEED: u64 = 3;

    /// Assigns the engines of a region to those of its VMs that stay.
    #[must_use]
    pub fn new(vms: &[RegionVm], engines: &[SlotEngine]) -> Self {
        let staying = vms.iter().filter(|vm| vm.is_staying).map(|vm| &vm.vm);
        let staying = staying.collect::<BTreeSet<_>>();
        let groups = Self::assign_engines(engines);
        let schedulers = Self::assign_groups(groups.values(), &staying);
        Self { groups, schedulers }
    }

    /// Returns the group of an engine; `None` if the engine is not known.
    #[must_use]
    pub fn group(&self, engine: UpstreamKey) -> Option<&SlotGroup> {
        self.groups.get(&engine)
    }

    /// Returns the VM that schedules a group; `None` if no VM can.
    #[must_use]
    pub fn scheduler(&self, group: &SlotGroup) -> Option<&VmId> {
        self.schedulers.get(group)
    }

    /// Returns all groups with their schedulers.
    pub fn schedulers(&self) -> impl Iterator<Item = (&SlotGroup, &VmId)> {
        self.schedulers.iter()
    }

    /// Assigns each engine to the group that it prefers among those with slots left. An engine that comes
    /// or goes moves few others.
    fn assign_engines(engines: &[SlotEngine]) -> FxHashMap<UpstreamKey, SlotGroup> {
        let mut services = BTreeMap::<&ServiceId, BTreeSet<&SlotEngine>>::new();
        for engine in engines {
            services.entry(&engine.service).or_default().insert(engine);
        }
        let mut groups = FxHashMap::default();
        for (service, engines) in services {
            let slots = engines
                .iter()
                .map(|engine| u64::from(engine.slots))
                .sum::<u64>();
            let count = slots.div_ceil(Self::GROUP_SLOTS.into());
            // An engine is in one group, so that more groups than engines would stay empty.
            let count = usize::try_from(count)
                .unwrap_or(usize::MAX)
                .min(engines.len());
            let mut left = vec![Self::GROUP_SLOTS; count];
            for engine in engines {
                let rendezvous = RendezvousHash::new(Self::ENGINE_SEED ^ engine.key.hash());
                let open = (0..left.len()).filter(|number| left[*number] > 0);
                let number = open.max_by_key(|number| rendezvous.weight(&number.to_string()));
                let Some(number) = number else { continue };
                left[number] = left[number].saturating_sub(engine.slots);
                let group = SlotGroup {
                    number: number as u32,
                    service: service.clone(),
                };
                groups.insert(engine.key, group);
            }
        }
        groups
    }

    /// Assigns each group to the VM that it prefers among those with the fewest allowed groups.
    fn assign_groups<'a>(
        groups: impl Iterator<Item = &'a SlotGroup>,
        vms: &BTreeSet<&VmId>,
    ) -> BTreeMap<SlotGroup, VmId> {
        let groups = groups.collect::<BTreeSet<_>>();
        let most = groups.len().div_ceil(vms.len().max(1));
        let mut counts = FxHashMap::<&VmId, usize>::default();
        let mut schedulers = BTreeMap::new();
        for group in groups {
            let seed = xxh3_64_with_seed(group.service.as_bytes(), Self::VM_SEED);
            let rendezvous = RendezvousHash::new(seed.wrapping_add(u64::from(group.number)));
            let open = vms
                .iter()
                .filter(|vm| counts.get(**vm).copied().unwrap_or_default() < most);
            let Some(vm) = open.max_by_key(|vm| rendezvous.weight(vm)) else {
                continue;
            };
            *counts.entry(vm).or_default() += 1;
            schedulers.insert(group.clone(), (*vm).clone());
        }
        schedulers
    }
}
