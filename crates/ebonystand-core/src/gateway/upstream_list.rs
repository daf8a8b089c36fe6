use super::*;
use std::hash::{Hash as _, Hasher as _};

/// List of upstreams that the VMs of a region share.
///
/// One VM reads it from its source and tells the others what has changed, so the messages grow with
/// the changes and not with the list. The digest is a sum over the entries: it is updated with each
/// of them and does not depend on the order of the changes.
#[derive(Clone, Debug, Default)]
pub struct UpstreamList {
    /// Times until which upstreams are cold by the last read of this VM.
    cold_until: FxHashMap<UpstreamId, Duration>,
    /// Sum of the hashes of the entries.
    digest: u64,
    entries: BTreeMap<UpstreamId, ListedUpstream>,
    scope: ListScope,
}

impl UpstreamList {
    /// Difference between the expected and the read end of a cold time from which it counts as a new
    /// one; covers the time that a read takes.
    const COLD_TOLERANCE: Duration = Duration::from_millis(250);

    /// Creates a list of these upstreams.
    #[must_use]
    pub fn new(scope: ListScope, upstreams: Vec<ListedUpstream>) -> Self {
        let mut list = Self {
            scope,
            ..Self::default()
        };
        upstreams.into_iter().for_each(|entry| list.insert(entry));
        list
    }

    /// Returns the digest by which VMs compare their lists.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the part of all upstreams that the list covers.
    #[must_use]
    pub fn scope(&self) -> ListScope {
        self.scope
    }

    /// Returns the number of upstreams.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there is no upstream.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the upstreams, in order of their instances.
    pub fn iter(&self) -> impl Iterator<Item = &ListedUpstream> {
        self.entries.values()
    }

    /// Returns the update that replaces any list by this one; all VMs know the versions `known_software`.
    #[must_use]
    pub fn to_whole(&self, known_software: Vec<(ServiceId, SoftwareVersion)>) -> ListUpdate {
        ListUpdate::Whole {
            known_software,
            scope: self.scope,
            upstreams: self.iter().cloned().collect(),
        }
    }

    /// Adds the upstreams of this list that a read lacks because the rest of the list could not be
    /// read. They stay as they were last read, until a read reaches the end of the list.
    pub fn add_missing(&self, scope: ListScope, read: &mut Vec<ListedUpstream>) {
        if scope != self.scope {
            return;
        }
        let found = read.iter().map(|entry| entry.instance.clone());
        let found = found.collect::<FxHashSet<_>>();
        let missing = self.iter().filter(|entry| !found.contains(&entry.instance));
        read.extend(missing.cloned());
    }

    /// Removes entries of a read that name an upstream which another entry names too, and returns their number. The last entry
    /// of a service for which `is_known` holds is kept: pages that are read later are newer.
    pub fn remove_duplicates(
        read: &mut Vec<ListedUpstream>,
        is_known: impl Fn(&ServiceId) -> bool,
    ) -> usize {
        let rank = |entry: &ListedUpstream| is_known(&entry.service);
        let mut best = FxHashMap::<&UpstreamId, usize>::default();
        for (number, entry) in read.iter().enumerate() {
            let kept = best.entry(&entry.instance).or_insert(number);
            if rank(entry) >= rank(&read[*kept]) {
                *kept = number;
            }
        }
        let removed = read.len() - best.len();
        if removed > 0 {
            let kept = best.into_values().collect::<FxHashSet<_>>();
            let mut numbers = 0..;
            read.retain(|_| numbers.next().is_some_and(|number| kept.contains(&number)));
        }
        removed
    }

    /// Puts a list that was just read in force, and returns the update for the other VMs.
    ///
    /// An entry keeps the cold time with which its upstream became cold until the upstream is warm:
    /// the time that is left changes with each read, and the other VMs count it down by themselves.
    pub fn replace(
        &mut self,
        now: Duration,
        scope: ListScope,
        read: Vec<ListedUpstream>,
    ) -> ListUpdate {
        let is_cold = |entry: &&ListedUpstream| !entry.cold_for.is_zero();
        let cold = read.iter().filter(is_cold);
        let cold = cold.map(|entry| (entry.instance.clone(), now + entry.cold_for));
        let cold_before = std::mem::replace(&mut self.cold_until, cold.collect());
        if scope != self.scope || self.is_empty() {
            let cold_until = std::mem::take(&mut self.cold_until);
            *self = Self {
                cold_until,
                ..Self::new(scope, read)
            };
            return self.to_whole(Vec::new());
        }
        let base = self.digest;
        let mut gone = std::mem::take(&mut self.entries);
        let mut changed = Vec::new();
        for entry in read {
            let known = gone.remove(&entry.instance);
            let kept = known.filter(|known| {
                let counted_down = cold_before
                    .get(&entry.instance)
                    .is_some_and(|until| now + entry.cold_for <= *until + Self::COLD_TOLERANCE);
                let is_same_cold = known.cold_for == entry.cold_for
                    || counted_down && !known.cold_for.is_zero() && !entry.cold_for.is_zero();
                let cold_for = known.cold_for;
                is_same_cold
                    && *known
                        == ListedUpstream {
                            cold_for,
                            ..entry.clone()
                        }
            });
            match kept {
                Some(kept) => {
                    self.entries.insert(kept.instance.clone(), kept);
                }
                None => changed.push(entry),
            }
        }
        let removed = gone.into_keys().collect::<Vec<_>>();
        self.digest = self.entries.values().map(hash).fold(0, u64::wrapping_add);
        changed.iter().cloned().for_each(|entry| self.insert(entry));
        if changed.is_empty() && removed.is_empty() {
            return ListUpdate::Unchanged { digest: base };
        }
        ListUpdate::Changes {
            base,
            changed,
            digest: self.digest,
            removed,
        }
    }

    /// Applies changes that another VM has read. Returns whether they were applied: changes to
    /// another list that lead to this one come from a second reader of the same list, or twice.
    ///
    /// # Errors
    /// [`ListMismatch`] if the changes apply to another list and lead to another one, or do not lead
    /// to the list with the digest `digest`; this list is then unchanged.
    pub fn apply_changes(
        &mut self,
        base: u64,
        digest: u64,
        changed: &[ListedUpstream],
        removed: &[UpstreamId],
    ) -> Result<bool, ListMismatch> {
        if base != self.digest {
            let known = self.digest;
            return match digest == known {
                true => Ok(false),
                false => Err(ListMismatch::Base { base, known }),
            };
        }
        let instances = changed.iter().map(|entry| &entry.instance).chain(removed);
        let known = instances.filter_map(|instance| self.entries.get(instance));
        let without = known.map(hash).fold(base, u64::wrapping_sub);
        let reached = changed.iter().map(hash).fold(without, u64::wrapping_add);
        if reached != digest {
            let wanted = digest;
            return Err(ListMismatch::Digest { reached, wanted });
        }
        for instance in removed {
            self.entries.remove(instance);
        }
        for entry in changed {
            self.entries.insert(entry.instance.clone(), entry.clone());
        }
        self.digest = digest;
        Ok(true)
    }

    fn insert(&mut self, entry: ListedUpstream) {
        self.digest = self.digest.wrapping_add(hash(&entry));
        if let Some(before) = self.entries.insert(entry.instance.clone(), entry) {
            self.digest = self.digest.wrapping_sub(hash(&before));
        }
    }
}

/// Returns the hash of an entry, equal in all processes of a build. Of the cold time it tells only
/// whether there is any: two VMs that read the list one after the other find different times left.
fn hash(entry: &ListedUpstream) -> u64 {
    let ListedUpstream {
        address,
        cold_for,
        instance,
        leaving,
        service,
        slots,
        software,
        zone,
    } = entry;
    let is_cold = !cold_for.is_zero();
    let mut hasher = Xxh3Default::new();
    let key = (address, is_cold, instance, leaving);
    (key, service, slots, software, zone).hash(&mut hasher);
    hasher.finish()
}
