use super::*;

/// Software versions of each service that this VM's lists have shown, with their times.
///
/// VMs see a new version at different times: by [`Self::hold_back`] after this VM's list first showed it, the
/// list of each VM that is up to date shows it as well. A VM that has just started cannot tell from its first list
/// which versions are new, but a VM that has been up for longer can tell it ([`Self::record_known`]). A VM begins
/// streams that may be taken up again only at versions held back for so long, so that a VM whose lists have shown
/// one version alone for longer than streams live knows at which version any of them began.
#[derive(Clone, Debug, Default)]
pub struct SoftwareHistory {
    /// Time from which on the list has never been older than [`Self::max_age`].
    current_since: Option<Duration>,
    /// Time at which the newest list was read that has arrived.
    read_at: Duration,
    read_interval: Duration,
    services: FxHashMap<ServiceId, Vec<SeenSoftware>>,
}

/// A software version of one service.
#[derive(Clone, Debug)]
struct SeenSoftware {
    /// Time of the first list without it; `None` while it is listed.
    gone_at: Option<Duration>,
    /// Time from which on each VM whose list is current knows the version.
    known_from: Duration,
    software: SoftwareVersion,
}

impl SoftwareHistory {
    /// Time by which two lists read at the same time may differ in age, with the time until all VMs have them.
    const LIST_LAG: Duration = Duration::from_secs(1);

    /// Creates the history of a VM whose region reads the list every `read_interval`.
    #[must_use]
    pub fn new(read_interval: Duration) -> Self {
        Self {
            read_interval,
            ..Self::default()
        }
    }

    /// Returns the time for which a new version gets no stream that may be taken up again.
    #[must_use]
    pub fn hold_back(&self) -> Duration {
        2 * self.read_interval + Self::LIST_LAG
    }

    /// Returns whether a stream that may be taken up again may begin at a version: all VMs know it, or it is the
    /// only one on the list.
    #[must_use]
    pub fn may_begin(&self, now: Duration, service: &str, software: &str) -> bool {
        let seen = self.services.get(service).map_or(&[][..], Vec::as_slice);
        let mut others = seen.iter().filter(|seen| *seen.software != *software);
        let is_alone = others.all(|seen| seen.gone_at.is_some());
        is_alone || self.is_known(now, service, software)
    }

    /// Returns whether each VM whose list is current knows a version.
    #[must_use]
    pub fn is_known(&self, now: Duration, service: &str, software: &str) -> bool {
        let seen = self.services.get(service).map_or(&[][..], Vec::as_slice);
        let mut of_version = seen.iter().filter(|seen| *seen.software == *software);
        of_version.any(|seen| seen.known_from <= now)
    }

    /// Returns the only version of a service at which a stream that is at most `max_age` old can have begun;
    /// `None` if there are several or if the lists of that time are not known. `max_age` is at most
    /// [`StreamOrigin::MAX_STREAM_AGE`].
    #[must_use]
    pub fn only_version(
        &self,
        now: Duration,
        service: &str,
        max_age: Duration,
    ) -> Option<&SoftwareVersion> {
        let from = now.checked_sub(max_age + self.hold_back())?;
        let is_current = now.saturating_sub(self.read_at) <= self.max_age();
        if !is_current || self.current_since? > from {
            return None;
        }
        let seen = self.services.get(service)?.iter();
        let mut seen = seen.filter(|seen| seen.gone_at.is_none_or(|gone_at| gone_at > from));
        let only = seen.next()?;
        seen.next().is_none().then_some(&only.software)
    }

    /// Records that a read which began at `read_at` found the list in force. A list that arrives late is as old as
    /// its read.
    pub fn record_confirmation(&mut self, now: Duration, read_at: Duration) {
        let is_gap = read_at.saturating_sub(self.read_at) > self.max_age();
        if is_gap || self.current_since.is_none() {
            self.current_since = Some(now);
        }
        self.read_at = self.read_at.max(read_at);
    }

    /// Records that each VM whose list is current knows a version, as another VM has told.
    pub fn record_known(&mut self, now: Duration, service: &str, software: &str) {
        let seen = self.services.get_mut(service).into_iter().flatten();
        for seen in seen.filter(|seen| *seen.software == *software) {
            seen.known_from = seen.known_from.min(now);
        }
    }

    /// Records a new list, as pairs of a service and a version; [`Self::record_confirmation`] tells its age.
    pub fn record_list<'a>(
        &mut self,
        now: Duration,
        listed: impl Iterator<Item = (&'a ServiceId, &'a SoftwareVersion)>,
    ) {
        let known_from = now + self.hold_back();
        let memory = StreamOrigin::MAX_STREAM_AGE + self.hold_back();
        let listed = listed.collect::<FxHashSet<_>>();
        for (service, seen) in &mut self.services {
            for seen in seen.iter_mut() {
                match listed.contains(&(service, &seen.software)) {
                    // A version that comes back is as new to the other VMs as any.
                    true if seen.gone_at.take().is_some() => seen.known_from = known_from,
                    true => {}
                    false => {
                        seen.gone_at.get_or_insert(now);
                    }
                }
            }
            seen.retain(|seen| {
                let gone_for = seen.gone_at.map(|gone_at| now.saturating_sub(gone_at));
                gone_for.is_none_or(|gone_for| gone_for < memory)
            });
        }
        self.services.retain(|_, seen| !seen.is_empty());
        for (service, software) in listed {
            let seen = self.services.entry(service.clone()).or_default();
            if !seen.iter().any(|seen| seen.software == *software) {
                seen.push(SeenSoftware {
                    gone_at: None,
                    known_from,
                    software: software.clone(),
                });
            }
        }
    }

    /// Returns the versions of each service on the list.
    pub fn listed(&self) -> impl Iterator<Item = (&ServiceId, &SoftwareVersion)> {
        let services = self.services.iter();
        services.flat_map(|(service, seen)| {
            let listed = seen.iter().filter(|seen| seen.gone_at.is_none());
            listed.map(move |seen| (service, &seen.software))
        })
    }

    /// Age up to which a list counts as up to date: it shows each version that any VM has held back to the end.
    fn max_age(&self) -> Duration {
        self.hold_back() - Self::LIST_LAG
    }
}
