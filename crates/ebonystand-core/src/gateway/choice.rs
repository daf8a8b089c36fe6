use super::*;

/// Where a request goes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Choice {
    /// To a VM of another region, which chooses one of the upstreams there.
    Away {
        /// Predicted time to the first byte if it stayed, with how much too late its answer would end; none
        /// if nobody here can serve it.
        here: Option<Duration>,
        /// Predicted time to the first byte there.
        predicted: Duration,
        /// The region.
        region: RegionId,
    },
    /// Upstreams of the own region can serve it, but none has room now.
    Full {
        /// Predicted time to the first byte if it were sent all the same.
        predicted: Duration,
    },
    /// To an upstream of the own region.
    Here {
        /// Where it listens.
        address: SocketAddr,
        /// Upstreams that were weighed.
        candidates: u32,
        /// Engine from which this one is to import what it lacks of the prompt; none if it reads all.
        import: Option<CacheSource>,
        /// The upstream.
        instance: UpstreamId,
        /// Whether it has not failed lately.
        is_sound: bool,
        /// Predicted time to the first byte.
        predicted: Duration,
        /// Age of the load that the prediction rests on; none if the upstream has told none.
        report_age: Option<Duration>,
        /// Prompt tokens that the upstream is expected to read anew.
        unread: Tokens,
    },
    /// Nobody can serve it now.
    Nowhere {
        /// Why not.
        because: Unfit,
        /// When coming back makes sense.
        retry_after: Duration,
    },
}
