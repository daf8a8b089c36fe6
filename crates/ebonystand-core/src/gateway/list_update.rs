use super::*;

/// Message that brings the list of upstreams of another VM up to date.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ListUpdate {
    /// Changes to the list with the digest `base`, which lead to the list with the digest `digest`.
    Changes {
        /// Digest of the list that the changes apply to.
        base: u64,
        /// New entries, and entries that replace those of the same instance.
        changed: Vec<ListedUpstream>,
        /// Digest of the list after the changes.
        digest: u64,
        /// Instances that are no longer on the list.
        removed: Vec<UpstreamId>,
    },
    /// The list with this digest is still in force.
    Unchanged {
        /// Digest of the list.
        digest: u64,
    },
    /// The whole list.
    Whole {
        /// Software versions of services that all VMs know, as the sender's lists have shown them for long enough.
        known_software: Vec<(ServiceId, SoftwareVersion)>,
        /// Part of all upstreams that the list covers.
        scope: ListScope,
        /// Entries of the list.
        upstreams: Vec<ListedUpstream>,
    },
}
