use super::*;

/// How the crashes of a request lead to its quarantine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CrashRule {
    /// Runs need no permit. Two crashes make the request a suspect, which a run clears that its
    /// upstream survives. From the third on, new runs are held back for
    /// [`Quarantine::SURVIVAL_TIMEOUT`]; the request is then quarantined unless one in progress
    /// has cleared it.
    ///
    /// Upstreams that go down together take many requests with them, a frequent one on several
    /// upstreams at once. Other runs of that one survive meanwhile.
    Evidence,
    /// After the first crash, each run needs a permit of the owner. The second crash quarantines.
    Permits,
}
