use super::*;
use {
    ebonystand_core::{Mechanism, UpstreamBook},
    settings_reader::SettingsReader,
    std::collections::{BTreeMap, BTreeSet},
};

/// Settings of serving by routes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GatewaySettings {
    /// Time for which a confirmation that the configuration is the newest counts; 0 if none is
    /// needed to serve a key: [`Self::CONFIRMED_PERMILLE`] of the time in which a key that was taken
    /// away is to stop working everywhere, on a VM that is cut off too.
    pub confirmed_for: Duration,
    /// Where requests that VMs of other regions forward are taken.
    pub forwards: Option<SocketAddr>,
    /// Time between two looks at the list of upstreams.
    pub list_every: Duration,
    /// One-way delay to assume between regions.
    pub region_delay: Duration,
    /// What a workspace may use beyond its quota in a window, in permille of the quota.
    pub quota_overage_permille: u64,
    /// Tokens that a workspace may use beyond its quota in a window.
    pub quota_slack: u64,
    /// Length of the window that quotas are judged by.
    pub quota_window: Duration,
    /// Requests sent once more, in permille of the requests.
    pub retry_permille: u64,
    /// Whether callers may be sent to this VM.
    pub serves_callers: bool,
    /// Time from the start of a VM until it serves when all VMs start together: an election, and the rest
    /// of the leases that their former starts held. Requests wait so long for it at most.
    pub start_takes: Duration,
    /// Mechanisms that an experiment leaves out.
    pub without: BTreeSet<Mechanism>,
    /// Regions of availability zones.
    pub zones: BTreeMap<ZoneId, RegionId>,
}

impl GatewaySettings {
    /// Part of the time in which a key is to stop working for which a confirmation counts. The rest
    /// is for the request that is on its way to its upstream when it runs out.
    pub const CONFIRMED_PERMILLE: u32 = 800;

    pub(crate) fn read(reader: &mut SettingsReader) -> Self {
        let millis = Duration::from_millis;
        let withdrawn_within = millis(reader.ranged("withdrawn_within_ms", 0, 0, 3_600_000));
        Self {
            confirmed_for: withdrawn_within * Self::CONFIRMED_PERMILLE / 1_000,
            forwards: reader.optional("forwards", None),
            list_every: millis(reader.ranged("list_every_ms", 1_000, 50, 600_000)),
            region_delay: millis(reader.ranged(
                "region_delay_ms",
                UpstreamBook::DEFAULT_REGION_DELAY.as_millis() as u64,
                0,
                10_000,
            )),
            quota_overage_permille: permille(reader.optional("quota_overage", 0.0)),
            quota_slack: reader.ranged("quota_slack", 0, 0, u64::MAX),
            quota_window: millis(reader.ranged("quota_window_ms", 0, 0, 600_000)),
            retry_permille: permille(reader.optional("retry_ratio", 0.1)),
            serves_callers: reader.optional("serves_callers", true),
            start_takes: millis(reader.ranged("start_takes_ms", 2_500, 0, 600_000)),
            without: reader.optional("without", BTreeSet::new()),
            zones: reader.optional("zones", BTreeMap::new()),
        }
    }
}

/// A share in permille; one below 0 or that is no number counts as 0.
fn permille(share: f64) -> u64 {
    (share * 1_000.0) as u64
}
