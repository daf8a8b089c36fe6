use super::*;

/// Feature of upstream selection that can be disabled to measure its effect.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[display(rename_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Mechanism {
    /// Send requests to another region although this one could serve them.
    Away,
    /// Send streams to another region that would end too late in this one.
    EndInTime,
    /// Prefer upstreams that fail less often.
    FailingWeight,
    /// Queue forwarded requests, and those that only regions without room can serve, instead of
    /// refusing them.
    ForwardedWait,
    /// Let an engine import cached prompt prefixes from another one.
    Imports,
    /// Send requests to another region only within the room that it offers.
    OfferedRoom,
    /// Assign each shared prompt part to one engine on which all VMs agree without a message.
    Owner,
    /// Count the requests that other VMs of the region have in flight.
    PeerLoads,
    /// Weigh the delay that reading a prompt causes to other requests of an engine.
    ReadingCosts,
    /// Import a prefix even if the engine would read it faster than import it.
    ShortImports,
    /// Ask a scheduler of the region for a slot while room is short.
    Slots,
    /// Use what other VMs report about the engines' caches.
    ToldCaches,
    /// Use what upstreams and other VMs tell of the upstreams' speeds.
    ToldSpeeds,
    /// Limit the work that waits in an engine.
    Windows,
}
