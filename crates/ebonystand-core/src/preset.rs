use super::*;

/// Weights and limits of the routing policy, in force while their preset is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Preset {
    /// Predicted time in milliseconds that weighs as much as one unit of an upstream's cost.
    pub cost_weight_ms: u64,
    /// Time in milliseconds between two tokens after which a stream whose upstream is silent is
    /// broken off.
    pub between_tokens_ms: u64,
    /// Deadline in milliseconds of a request that names none.
    pub deadline_ms: u64,
    /// Time in milliseconds after which an upstream that has sent nothing of its answer is given
    /// up.
    pub first_byte_ms: u64,
    /// Maximum number of retries that a VM adds, in thousandths of its requests in the last
    /// [`RetryBudget::WINDOW`].
    pub retry_budget_permille: u64,
    /// Predicted gain in milliseconds below which a request is not sent to another region.
    pub send_away_gain_ms: u64,
    /// Predicted time to the first token in milliseconds above which a request is shed at once.
    pub shed_above_ms: u64,
    /// Time in milliseconds over which a cold upstream's share of requests grows to its full size.
    pub slow_start_ms: u64,
}

impl Preset {
    /// Adds a fault for each limit that is 0, as such a limit would end each request at once.
    pub(crate) fn check(&self, name: PresetName, faults: &mut Vec<DocumentFault>) {
        let limits = [
            ("between_tokens_ms", self.between_tokens_ms),
            ("deadline_ms", self.deadline_ms),
            ("first_byte_ms", self.first_byte_ms),
            ("shed_above_ms", self.shed_above_ms),
        ];
        for (field, _) in limits.iter().filter(|(_, limit)| *limit == 0) {
            faults.push(DocumentFault::PresetLimit {
                field: (*field).into(),
                preset: name,
            });
        }
    }
}

impl Default for Preset {
    fn default() -> Self {
        Self {
            cost_weight_ms: 0,
            between_tokens_ms: 5_000,
            deadline_ms: 60_000,
            first_byte_ms: 10_000,
            retry_budget_permille: 100,
            send_away_gain_ms: 50,
            shed_above_ms: 5_000,
            slow_start_ms: 10_000,
        }
    }
}
