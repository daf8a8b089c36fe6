use super::*;
use {
    ebonystand_core::{AttemptEnd, Preset, RetryBudget, RetryBudgetStatus, RetryGrant, Retryable},
    metrics::GrantLabel,
    node::Node,
    retry_permit::{RetryPermit, SharedRetryBudget},
};

/// Retry budgets of the services on routes. Each service has its own, so that the requests of one
/// don't pay for the retries of another.
pub(crate) struct RetryBudgets {
    budgets: RefCell<FxHashMap<Box<str>, SharedRetryBudget>>,
    /// Retries that all VMs together may make in a window beyond their share; `None` if each VM is
    /// limited alone.
    fleet_retries: Option<u64>,
    /// Preset with the retry ratio of the settings.
    preset: Preset,
    /// Time at which this VM started, from which its budgets fill.
    started: Duration,
}

impl RetryBudgets {
    pub(crate) fn new(settings: &GatewaySettings, started: Duration) -> Self {
        Self {
            budgets: RefCell::default(),
            fleet_retries: settings.retry_slack,
            preset: Preset {
                retry_budget_permille: settings.retry_permille,
                ..Preset::default()
            },
            started,
        }
    }

    /// Counts a request towards the budget of its service.
    pub(crate) fn record_request(&self, now: Duration, service: &str) {
        let budget = self.budget(service);
        budget.borrow_mut().record_request(now, &self.preset);
    }

    /// Returns the state of the budgets, ordered by service.
    pub(crate) fn statuses(&self, now: Duration) -> Vec<RetryBudgetStatus> {
        let budgets = self.budgets.borrow();
        let statuses = budgets.iter().map(|(service, budget)| {
            let mut budget = budget.borrow_mut();
            budget.status(now, service, &self.preset)
        });
        let mut statuses = statuses.collect::<Vec<_>>();
        statuses.sort_by(|a, b| a.service.cmp(&b.service));
        statuses
    }

    /// Asks for a retry of an attempt that ended with `end`. It is taken from the service's budget,
    /// unless the attempt cannot have reached an upstream.
    pub(crate) fn try_retry(
        &self,
        node: &Node,
        service: &str,
        end: AttemptEnd,
    ) -> (RetryGrant, Option<RetryPermit>) {
        let now = node.clock.now();
        let retryable = match end.can_have_reached_upstream() {
            true => Retryable::Idempotent,
            false => Retryable::NotStarted,
        };
        let budget = self.budget(service);
        if let Some(fleet_retries) = self.fleet_retries {
            // VMs that are out of sight may serve on the other side of a partition.
            let vms = node.membership.known_serving_count();
            budget.borrow_mut().set_fleet_minimum(fleet_retries, vms);
        }
        let (grant, permit) = RetryPermit::request(&budget, now, retryable, &self.preset);
        let label = GrantLabel {
            grant: grant.to_string(),
        };
        node.metrics.retry_grants.get_or_create(&label).inc();
        (grant, permit)
    }

    fn budget(&self, service: &str) -> SharedRetryBudget {
        let mut budgets = self.budgets.borrow_mut();
        if let Some(budget) = budgets.get(service) {
            return Rc::clone(budget);
        }
        let budget = match self.fleet_retries {
            Some(_) => RetryBudget::of_fleet(self.started),
            None => RetryBudget::default(),
        };
        let budget = SharedRetryBudget::new(RefCell::new(budget));
        budgets.insert(service.into(), Rc::clone(&budget));
        budget
    }
}
