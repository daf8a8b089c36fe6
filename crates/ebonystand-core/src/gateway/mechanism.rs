use super::*;

/// A mechanism of the choice of upstreams that an experiment can leave out, to measure what it is worth.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[display(rename_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Mechanism {
    /// Sending requests to other regions that one here could serve.
    Away,
    /// Sending streams to other regions that would not end in time here.
    EndInTime,
    /// Weighing how often an upstream fails.
    FailingWeight,
    /// Waiting of forwarded requests, and of those that only full regions can serve.
    ForwardedWait,
    /// Importing what another engine keeps.
    Imports,
    /// One engine that all VMs agree on for a shared part.
    Owner,
    /// What VMs tell one another that they have under way.
    PeerLoads,
    /// Weighing what reading a prompt costs others.
    ReadingCosts,
    /// Importing parts that are read faster than they are imported.
    ShortImports,
    /// What VMs tell one another that engines keep.
    ToldCaches,
    /// Limits to the work that waits in an engine.
    Windows,
}
