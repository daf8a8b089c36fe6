use super::*;

/// One VM as far as it knows lists and origins.
pub(crate) struct Vm {
    pub(crate) election: ListReaderElection,
    pub(crate) history: SoftwareHistory,
    pub(crate) holders: OriginHolders,
    pub(crate) inquiries: BTreeMap<u64, Open>,
    pub(crate) is_reading: bool,
    /// Versions on the list in force; `None` until the first list.
    pub(crate) listed: Option<BTreeSet<SoftwareVersion>>,
    pub(crate) name: VmId,
    pub(crate) next_read: u64,
    /// Read that found the list in force.
    pub(crate) reading: Option<ListReading>,
    pub(crate) reading_dates: ReadingDates,
    pub(crate) region: usize,
    pub(crate) table: OriginTable,
}

/// Inquiry of a VM about a stream.
pub(crate) struct Open {
    pub(crate) deadline: u64,
    pub(crate) inquiry: OriginInquiry,
    pub(crate) stream: usize,
}

impl Vm {
    pub(crate) const READ_INTERVAL: Duration = Duration::from_secs(1);

    pub(crate) fn new(name: VmId, region: usize, holders: OriginHolders, now: u64) -> Self {
        Self {
            election: ListReaderElection::new(Self::READ_INTERVAL, Duration::from_millis(now)),
            history: SoftwareHistory::new(Self::READ_INTERVAL),
            holders,
            inquiries: BTreeMap::new(),
            is_reading: false,
            listed: None,
            name,
            next_read: now,
            reading: None,
            reading_dates: ReadingDates::default(),
            region,
            table: OriginTable::default(),
        }
    }

    /// Puts a list in force that another VM has read.
    pub(crate) fn hear(
        &mut self,
        now: u64,
        reading: ListReading,
        versions: &BTreeSet<SoftwareVersion>,
    ) {
        let time = Duration::from_millis(now);
        self.election.record_list_received(time);
        let read_at = self.reading_dates.date(time, &reading);
        self.install(now, read_at.as_millis() as u64, versions);
        self.reading = Some(reading);
    }

    /// Puts a list in force.
    pub(crate) fn install(&mut self, now: u64, read_at: u64, versions: &BTreeSet<SoftwareVersion>) {
        let (now, read_at) = (Duration::from_millis(now), Duration::from_millis(read_at));
        if self.listed.as_ref() != Some(versions) {
            let service = ServiceId::from("s");
            let listed = versions.iter().map(|version| (&service, version));
            self.history.record_list(now, listed);
        }
        self.history.record_confirmation(now, read_at);
        self.listed = Some(versions.clone());
    }

    pub(crate) fn only(&self, now: u64) -> Option<StreamOrigin> {
        let now = Duration::from_millis(now);
        let max_age = StreamOrigin::MAX_STREAM_AGE;
        let only = self.history.only_version(now, "s", max_age)?;
        Some(Self::origin(only))
    }

    pub(crate) fn origin(software: &SoftwareVersion) -> StreamOrigin {
        StreamOrigin {
            service: "s".into(),
            software: software.clone(),
        }
    }

    /// Returns the versions at which a stream may begin.
    pub(crate) fn may_begin(&self, now: u64) -> Vec<SoftwareVersion> {
        let now = Duration::from_millis(now);
        let listed = self.history.listed().map(|(_, software)| software);
        let may_begin = listed.filter(|software| self.history.may_begin(now, "s", software));
        may_begin.cloned().collect()
    }

    pub(crate) fn answer(&self, now: u64, key: StreamKey) -> OriginAnswer {
        let held = self.table.get(Duration::from_millis(now), key).cloned();
        let known = held
            .map(KnownOrigin::Recorded)
            .or_else(|| self.only(now).map(KnownOrigin::OnlyVersion));
        OriginAnswer::from(known)
    }
}
