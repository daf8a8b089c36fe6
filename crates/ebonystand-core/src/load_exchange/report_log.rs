use super::*;

/// The last reports of a VM, with which it takes its own load out of a sum that includes one of them.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReportLog {
    last: u32,
    reports: VecDeque<(u32, UpstreamLoads)>,
}

impl ReportLog {
    /// Reports of more than a second, after which a sum counts no more.
    const LENGTH: usize = 16;

    /// Notes a report; its number.
    pub(crate) fn push(&mut self, under_way: UpstreamLoads) -> u32 {
        self.last = self.last.wrapping_add(1);
        if self.reports.len() == Self::LENGTH {
            self.reports.pop_front();
        }
        self.reports.push_back((self.last, under_way));
        self.last
    }

    /// The sum without the load of the report with this number, or of the last one if that is forgotten.
    pub(crate) fn without_own(&self, included: u32, mut sum: UpstreamLoads) -> UpstreamLoads {
        let mut reports = self.reports.iter();
        let own = reports.find(|(number, _)| *number == included);
        let Some((_, own)) = own.or(self.reports.back()) else {
            return sum;
        };
        let own = own.iter().copied().collect::<FxHashMap<_, _>>();
        for (upstream, load) in &mut sum {
            load.take_out(own.get(upstream).copied().unwrap_or_default());
        }
        sum.retain(|(_, load)| !load.is_none());
        sum
    }
}
