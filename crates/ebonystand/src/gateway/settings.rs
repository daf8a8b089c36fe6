use super::*;
use {
    ebonystand_core::{Mechanism, UpstreamBook},
    settings_reader::SettingsReader,
    std::collections::{BTreeMap, BTreeSet},
};

/// Settings for serving requests by routes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GatewaySettings {
    /// Time for which a confirmation that the configuration is the newest stays valid; 0 if keys
    /// are served without one. It is [`Self::CONFIRMED_PERMILLE`] of the time within which a
    /// revoked key must stop working everywhere, even on a VM that is cut off from the others.
    pub confirmed_for: Duration,
    /// Address on which this VM accepts requests forwarded by VMs of other regions.
    pub forwards: Option<SocketAddr>,
    /// Time between two reads of the list of upstreams.
    pub list_every: Duration,
    /// Assumed one-way network delay between regions.
    pub region_delay: Duration,
    /// Usage that a workspace may have beyond its quota in a window, in permille of the quota.
    pub quota_overage_permille: u64,
    /// Fixed number of tokens that a workspace may use beyond its quota in a window.
    pub quota_slack: u64,
    /// Length of the window in which usage is compared with the quota.
    pub quota_window: Duration,
    /// Share of requests that may be retried, in permille of all requests.
    pub retry_permille: u64,
    /// Retries that all VMs together may make in a window beyond [`Self::retry_permille`]; `None` if
    /// only the number of each VM is limited.
    pub retry_slack: Option<u64>,
    /// Whether callers may be directed to this VM.
    pub serves_callers: bool,
    /// Time that a VM takes to start serving when all VMs start together: an election plus the
    /// remaining time of the leases held before the restart. Requests wait at most until this time
    /// after the start.
    pub start_takes: Duration,
    /// Mechanisms that are disabled for an experiment.
    pub without: BTreeSet<Mechanism>,
    /// Region of each availability zone.
    pub zones: BTreeMap<ZoneId, RegionId>,
}

impl GatewaySettings {
    /// Validity of a confirmation, in permille of the time within which a revoked key must stop
    /// working. The rest is for a request that is already on its way to its upstream when the
    /// confirmation expires.
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
            retry_slack: reader
                .optional::<Option<f64>>("retry_slack", None)
                .map(|retries| retries as u64),
            serves_callers: reader.optional("serves_callers", true),
            start_takes: millis(reader.ranged("start_takes_ms", 2_500, 0, 600_000)),
            without: reader.optional("without", BTreeSet::new()),
            zones: reader.optional("zones", BTreeMap::new()),
        }
    }
}

/// Converts a share to permille. A negative share or one that is not a number becomes 0.
fn permille(share: f64) -> u64 {
    (share * 1_000.0) as u64
}
