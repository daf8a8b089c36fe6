use super::*;

/// Latest reports of this VM, kept so that its own load can be subtracted from a sum that includes
/// one of them.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReportLog {
    last_number: u32,
    reports: VecDeque<(u32, UpstreamLoads)>,
}

impl ReportLog {
    /// Number of reports kept; they cover more than a second, after which a sum has expired.
    const CAPACITY: usize = 16;

    /// Adds a report and returns its number.
    pub(crate) fn push(&mut self, under_way: UpstreamLoads) -> u32 {
        self.last_number = self.last_number.wrapping_add(1);
        if self.reports.len() == Self::CAPACITY {
            self.reports.pop_front();
        }
        self.reports.push_back((self.last_number, under_way));
        self.last_number
    }

    /// Returns the sum without the load in the report with the number `included`, or in the latest
    /// report if that one is no longer kept.
    pub(crate) fn subtract_own(&self, included: u32, mut sum: UpstreamLoads) -> UpstreamLoads {
        let mut reports = self.reports.iter();
        let own = reports.find(|(number, _)| *number == included);
        let Some((_, own)) = own.or(self.reports.back()) else {
            return sum;
        };
        let own = own.iter().copied().collect::<FxHashMap<_, _>>();
        for (upstream, load) in &mut sum {
            load.subtract(own.get(upstream).copied().unwrap_or_default());
        }
        sum.retain(|(_, load)| !load.is_idle());
        sum
    }
}
