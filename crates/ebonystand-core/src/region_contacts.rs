use super::*;

/// Times when VMs of the local region last got an answer from each other region.
#[derive(Clone, Debug)]
pub(crate) struct RegionContacts {
    contacts: BTreeMap<RegionId, Duration>,
    own: RegionId,
}

impl RegionContacts {
    /// Age of a region's last answer from which on each VM that notices it probes that region.
    const STALE_AFTER: Duration = Duration::from_secs(2);

    pub(crate) fn new(own: RegionId) -> Self {
        Self {
            contacts: BTreeMap::new(),
            own,
        }
    }

    /// Records an answer from `region`, unless it is the local region or a newer answer is known.
    pub(crate) fn record_answer(&mut self, at: Duration, region: &RegionId) {
        if *region == self.own {
            return;
        }
        let known = self.contacts.entry(region.clone()).or_insert(at);
        *known = at.max(*known);
    }

    /// Returns whether `region` is the local region or has answered within
    /// [`VmMembership::REGION_TIMEOUT`].
    pub(crate) fn is_reachable(&self, now: Duration, region: &str) -> bool {
        let contact = self.contacts.get(region);
        *region == *self.own
            || contact
                .is_some_and(|contact| now.saturating_sub(*contact) < VmMembership::REGION_TIMEOUT)
    }

    /// Returns whether `region` has not answered within [`RegionContacts::STALE_AFTER`].
    pub(crate) fn is_stale(&self, now: Duration, region: &str) -> bool {
        let contact = self.contacts.get(region).copied().unwrap_or_default();
        now.saturating_sub(contact) >= Self::STALE_AFTER
    }

    /// Returns the contacts with reachable regions, to be shared with VMs of the local region.
    pub(crate) fn recent(&self, now: Duration) -> Vec<RegionContact> {
        self.contacts
            .iter()
            .map(|(region, contact)| RegionContact {
                age_ms: millis(now.saturating_sub(*contact)),
                region: region.clone(),
            })
            .filter(|contact| contact.age_ms < millis(VmMembership::REGION_TIMEOUT))
            .collect()
    }

    /// Merges the contacts that a VM of the local region shares.
    pub(crate) fn merge(&mut self, now: Duration, contacts: &[RegionContact]) {
        for contact in contacts {
            let age = Duration::from_millis(contact.age_ms);
            self.record_answer(now.saturating_sub(age), &contact.region);
        }
    }
}
