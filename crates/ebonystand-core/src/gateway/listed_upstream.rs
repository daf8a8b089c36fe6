use super::*;

/// Entry of the list of running upstreams, which lags behind the servers' actual state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedUpstream {
    /// Address on which the upstream listens.
    pub address: SocketAddr,
    /// Remaining time for which the upstream is cold.
    pub cold_for: Duration,
    /// Name of the upstream's instance, which is new with each start of the server.
    pub instance: UpstreamId,
    /// Whether the upstream is draining and gets no new requests.
    pub leaving: bool,
    /// Service that the upstream serves.
    pub service: ServiceId,
    /// Requests that the upstream works on at once.
    pub slots: u32,
    /// Version of the software that the upstream runs.
    pub software: SoftwareVersion,
    /// Availability zone of the upstream.
    pub zone: ZoneId,
}

impl ListedUpstream {
    /// Most requests at once. Each has a connection of its own, and an address has no more ports.
    pub const MAX_SLOTS: u32 = 65_535;
    /// Longest time for which an upstream is cold. One that says more can't be counted on.
    pub const MAX_COLD_TIME: Duration = Duration::from_secs(3_600);

    /// Checks an entry that somebody else wrote.
    ///
    /// # Errors
    /// [`ListedUpstreamError`] if nothing listens at such an address, or a figure is beyond its limit.
    pub fn check(&self) -> Result<(), ListedUpstreamError> {
        let Self { address, .. } = self;
        let ip = address.ip();
        if address.port() == 0 || ip.is_unspecified() || ip.is_multicast() {
            return Err(ListedUpstreamError::Address { address: *address });
        }
        if self.slots > Self::MAX_SLOTS {
            return Err(ListedUpstreamError::Slots { slots: self.slots });
        }
        if self.cold_for > Self::MAX_COLD_TIME {
            let time = self.cold_for;
            return Err(ListedUpstreamError::ColdTime { time });
        }
        Ok(())
    }
}
