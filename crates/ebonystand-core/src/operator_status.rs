use super::*;

/// Answer to `GET /v1/operator/status`: state of the system as one VM sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct OperatorStatus {
    /// Status of the allowances that this VM holds a share of.
    pub allowances: Vec<WorkspaceAllowanceStatus>,
    /// Whether this VM takes no new work.
    pub draining: bool,
    /// Status of the replicated groups that this VM is a member of.
    pub groups: Vec<GroupStatus>,
    /// Limits that upstreams name, with this VM's share of each.
    #[serde(default)]
    pub limits: Vec<UpstreamLimitStatus>,
    /// What upstreams have said of themselves in answers to this VM.
    #[serde(default)]
    pub notices: Vec<UpstreamNoticeStatus>,
    /// Parts of prompts that crash upstreams, as far as this VM knows.
    #[serde(default)]
    pub parts: Vec<PartStatus>,
    /// Name of the preset in force.
    pub preset: PresetName,
    /// Whether this VM is ready to serve requests.
    pub ready: bool,
    /// Retry budgets of the services on routes.
    #[serde(default)]
    pub retry_budgets: Vec<RetryBudgetStatus>,
    /// Software versions of the services on the list of upstreams.
    #[serde(default)]
    pub software: Vec<SoftwareStatus>,
    /// Speeds of upstreams that tell them or are measured by several VMs.
    #[serde(default)]
    pub speeds: Vec<UpstreamSpeedStatus>,
    /// Number of streams of which this VM holds the version that began them.
    #[serde(default)]
    pub stream_origins: usize,
    /// Requests that crash upstreams, as far as this VM knows.
    #[serde(default)]
    pub suspects: Vec<SuspectStatus>,
    /// Status of each upstream of the configuration.
    pub upstreams: Vec<UpstreamStatus>,
    /// Version of the configuration in force on this VM.
    pub version: Version,
    /// Name of this VM.
    pub vm: VmId,
    /// Status of each VM that this VM knows, itself included.
    pub vms: Vec<VmStatus>,
    /// Number of withdrawn keys that the log does not have yet.
    pub withdrawals_pending: u64,
}
