use super::*;

/// Selects VMs at random, each about as often as its capacity demands, so that callers who pick
/// one of the selected VMs with equal chances come in proportion to capacity.
///
/// A selection depends on the seed and on nothing else that changes often: each VM is drawn anew
/// once in [`Self::REDRAW_PERIOD`], each at another moment, and a VM that comes, goes or changes
/// its capacity displaces few others. Callers close connections to VMs that a new selection lacks.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CapacitySample {
    /// Seed, equal for all requests of a caller.
    pub(crate) seed: u64,
    /// Wall-clock time, on which all VMs nearly agree.
    pub(crate) wall: Duration,
}

impl CapacitySample {
    /// Fewest VMs to select, where there are as many.
    pub(crate) const MIN_VMS: usize = 8;
    /// Time after which a VM's chance is drawn anew for the same caller.
    const REDRAW_PERIOD: Duration = Duration::from_secs(300);

    /// Removes VMs until the chance of each to be selected is as its capacity demands, but keeps
    /// half of them and [`Self::MIN_VMS`]. The order of those that stay is kept.
    pub(crate) fn reduce(self, vms: &mut Vec<&VmRecord>) {
        let count = Self::selected_count(vms);
        if count < vms.len() {
            let chosen = self.choose(vms, count);
            vms.retain(|vm| chosen.contains(&vm.vm));
        }
    }

    /// Number of VMs at which the one with the most capacity is just always selected.
    fn selected_count(vms: &[&VmRecord]) -> usize {
        let capacities = || {
            vms.iter()
                .map(|vm| u64::from(vm.present_capacity().permille()))
        };
        let most = capacities().max().unwrap_or(1);
        let proportional = capacities().sum::<u64>().div_ceil(most) as usize;
        let floor = Self::MIN_VMS.max(vms.len().div_ceil(2));
        proportional.max(floor).min(vms.len())
    }

    /// Names of the `count` selected VMs, at least one of a second zone if there is one.
    fn choose(self, vms: &[&VmRecord], count: usize) -> BTreeSet<VmId> {
        let mut order = vms.to_vec();
        order.sort_by_cached_key(|vm| self.key(vm));
        let is_one_zone = |vms: &[&VmRecord]| vms.iter().all(|vm| vm.zone == vms[0].zone);
        if is_one_zone(&order[..count])
            && let Some(other) = (count..order.len()).find(|i| order[*i].zone != order[0].zone)
        {
            order.swap(count - 1, other);
        }
        let chosen = order.into_iter().take(count);
        chosen.map(|vm| vm.vm.clone()).collect()
    }

    /// Sort key of sequential Poisson sampling: a uniform random number divided by the capacity.
    fn key(self, vm: &VmRecord) -> u128 {
        let phase = RendezvousHash::new(self.seed).weight(&vm.vm);
        let period = Self::REDRAW_PERIOD.as_millis() as u64;
        let draw = (self.wall.as_millis() as u64 + phase % period) / period;
        let uniform = RendezvousHash::new(self.seed ^ draw.wrapping_mul(Self::MIX)).weight(&vm.vm);
        (u128::from(uniform) << u64::BITS) / u128::from(vm.present_capacity().permille())
    }

    /// Odd factor that spreads consecutive draws over all bits of a seed.
    const MIX: u64 = 0x9E37_79B9_7F4A_7C15;
}
