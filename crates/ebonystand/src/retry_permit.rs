use super::*;
use ebonystand_core::{Preset, RetryBudget, RetryGrant, Retryable};

/// A retry granted by a budget. It counts as on its way until it is dropped; a permit of which
/// nothing was sent is then given back.
#[derive(Debug)]
pub(crate) struct RetryPermit {
    budget: SharedRetryBudget,
    granted: Duration,
    is_sent: bool,
}

/// Retry budget that permits share with their VM.
pub(crate) type SharedRetryBudget = Rc<RefCell<RetryBudget>>;

impl RetryPermit {
    /// Asks a budget for a retry. There is a permit only for a retry that takes from the budget.
    pub(crate) fn request(
        budget: &SharedRetryBudget,
        now: Duration,
        retryable: Retryable,
        preset: &Preset,
    ) -> (RetryGrant, Option<Self>) {
        let grant = budget.borrow_mut().try_retry(now, retryable, preset);
        let permit = (grant == RetryGrant::Budget).then(|| Self {
            budget: Rc::clone(budget),
            granted: now,
            is_sent: false,
        });
        (grant, permit)
    }

    /// Time at which the budget granted the retry.
    pub(crate) fn granted(&self) -> Duration {
        self.granted
    }

    /// Records that bytes of the retry can leave this VM from now on.
    pub(crate) fn begin_attempt(permit: &mut Option<Self>) {
        if let Some(permit) = permit {
            permit.is_sent = true;
        }
    }

    /// Records the end of an attempt. A retry of which nothing was sent keeps its permit for the
    /// next attempt.
    pub(crate) fn end_attempt(permit: &mut Option<Self>, is_sent: bool) {
        match permit {
            Some(permit) if !is_sent => permit.is_sent = false,
            _ => *permit = None,
        }
    }
}

impl Drop for RetryPermit {
    fn drop(&mut self) {
        let mut budget = self.budget.borrow_mut();
        match self.is_sent {
            true => budget.record_arrival(),
            false => budget.give_back(),
        }
    }
}
