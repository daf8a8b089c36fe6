use super::*;

/// Operator's request for a change, as the operators' API takes it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRequest {
    /// Change to apply.
    pub change: Change,
    /// Version on which the operator bases the change; not needed if the change
    /// [`commutes`](Change::commutes). A change of an evacuation may be based on any version since
    /// the last one of the same zone.
    pub expected_version: Option<Version>,
    /// Name of the request, the same in each resend.
    pub request_id: RequestId,
}

impl ChangeRequest {
    /// Returns the availability zone whose evacuation the request changes, if it names the version
    /// that it is based on.
    pub(crate) fn evacuation_zone(&self) -> Option<&ZoneId> {
        match &self.change {
            Change::SetEvacuated { zone, .. } => self.expected_version.and(Some(zone)),
            _ => None,
        }
    }

    /// Creates the request that withdraws a key. All VMs create the same request for a key, so that
    /// it is applied once.
    #[must_use]
    pub fn withdrawal(key: KeyId) -> Self {
        Self {
            request_id: format!("withdraw:{key}").into(),
            change: Change::WithdrawKey { id: key },
            expected_version: None,
        }
    }
}
