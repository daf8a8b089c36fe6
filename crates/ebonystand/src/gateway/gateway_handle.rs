use super::*;
use {
    abandonment_log::AbandonmentLog,
    ebonystand_core::{
        Change, Command, CommandOutcome, EntryListSelector, HolderPlan, PendingEvacuation, Place,
        Routing,
    },
    group_controller::GroupController,
    node::Node,
    std::{collections::BTreeSet, net::IpAddr},
};

/// Handle to the running daemon for a program that embeds it.
#[derive(Clone)]
pub struct Gateway {
    pub(crate) node: Rc<Node>,
}

impl Gateway {
    /// Time after the start of the process before it proposes the first configuration. By then it
    /// has discovered the other VMs with a log, which are to hold shares of the allowances.
    const DISCOVERY_TIME: Duration = Duration::from_secs(2);

    /// Returns the addresses of VMs that a caller at `caller` may connect to for a host. `address`
    /// is where the caller asks from.
    #[must_use]
    pub fn entries(&self, host: &str, caller: &Place, address: Option<IpAddr>) -> Vec<SocketAddr> {
        let now = self.node.clock.now();
        let table = self.node.gateway.table();
        let homes = table.homes_of_host(host);
        let live = self.node.membership.live(now);
        let choice = EntryListSelector {
            caller,
            caller_seed: EntryListSelector::caller_seed(caller, address),
            random_seed: self.node.gateway.draw(),
            homes: &homes,
            wall: self.node.clock.wall(),
        };
        choice.select_addresses(live.iter().map(|entry| &entry.record))
    }

    /// Stops or resumes sending requests to the upstreams of a zone, as `caller` asks. Returns once
    /// the change is durable.
    ///
    /// # Errors
    /// [`ReplaceError::NoLeader`] if no leader accepted the change, [`ReplaceError::Stale`] if the
    /// caller may have given up on it.
    pub async fn evacuate(
        &self,
        zone: &str,
        evacuated: bool,
        caller: &CallerPresence,
    ) -> Result<(), ReplaceError> {
        let abandonment = AbandonmentLog::new(zone);
        let changed = self.change_evacuation(zone, evacuated, caller).await;
        abandonment.disarm();
        changed
    }

    /// Whether new callers may be directed to this VM.
    #[must_use]
    pub fn ready(&self) -> bool {
        self.node.gateway.ready(&self.node)
    }

    /// Puts a routing in force unless one with the same or a higher revision is in force. Returns
    /// once the change is durable.
    ///
    /// # Errors
    /// [`ReplaceError`] if the routing is invalid, the VM has just started or no leader accepted
    /// the change.
    pub async fn replace(&self, mut routing: Routing) -> Result<(), ReplaceError> {
        let faults = routing.faults();
        if !faults.is_empty() {
            return Err(ReplaceError::Faulty { faults });
        }
        let is_first = self.node.document().routing.revision == 0;
        if is_first && self.node.clock.now() < Self::DISCOVERY_TIME {
            return Err(ReplaceError::TooEarly);
        }
        let settings = &self.node.settings.gateway;
        for quota in routing
            .workspaces
            .iter_mut()
            .filter_map(|w| w.quota.as_mut())
        {
            *quota = quota.with_overage(
                settings.quota_window,
                settings.quota_overage_permille,
                settings.quota_slack,
            );
        }
        let change = Change::PutRouting {
            regions: self.plan_regions(&routing),
            routing: Box::new(routing),
        };
        match self.propose(change, None).await? {
            ChangeOutcome::Accepted { .. } => Ok(()),
            outcome => Err(not_accepted(&outcome)),
        }
    }

    /// Returns the routing in force. It is at least as new as any change acknowledged before the
    /// call.
    ///
    /// # Errors
    /// [`ReplaceError::NoLeader`] if the newest version is unknown or does not reach this VM in
    /// time, [`ReplaceError::NoLog`] on a VM whose copy lacks the operator's text.
    pub async fn routing(&self) -> Result<Routing, ReplaceError> {
        if self.node.settings.data_folder.is_none() {
            return Err(ReplaceError::NoLog);
        }
        let outcome = GroupController::propose(&self.node, Command::Barrier).await;
        let Ok(CommandOutcome::Barrier(version)) = outcome else {
            return Err(ReplaceError::NoLeader);
        };
        if !self.catch_up(version).await {
            return Err(ReplaceError::NoLeader);
        }
        Ok(self.node.document().routing.clone())
    }

    async fn change_evacuation(
        &self,
        zone: &str,
        evacuated: bool,
        caller: &CallerPresence,
    ) -> Result<(), ReplaceError> {
        let clock = &self.node.clock;
        let stale = |source| ReplaceError::Stale { source };
        let may_have_waited = self.node.stalls.may_have_waited(&self.node);
        let version = self.node.document().version;
        let mut pending =
            PendingEvacuation::new(clock.now(), version, may_have_waited).map_err(stale)?;
        loop {
            let is_connected = caller.is_connected_after_settling().await;
            let base = pending.base_version(clock.now(), is_connected);
            let base = base.map_err(stale)?;
            let change = Change::SetEvacuated {
                evacuated,
                zone: zone.into(),
            };
            match self.propose(change, Some(base)).await? {
                ChangeOutcome::Accepted { version } => {
                    log::info!(zone:% = zone, evacuated = evacuated, base = base, version = version; "change of an evacuation acknowledged");
                    return Ok(());
                }
                ChangeOutcome::Conflict { version } => pending.record_conflict(version),
                outcome @ ChangeOutcome::Refused { .. } => return Err(not_accepted(&outcome)),
            }
        }
    }

    async fn propose(
        &self,
        change: Change,
        expected_version: Option<Version>,
    ) -> Result<ChangeOutcome, ReplaceError> {
        let req = ChangeRequest {
            change,
            expected_version,
            request_id: self.node.request_id(),
        };
        let outcome = GroupController::propose(&self.node, Command::Change(req)).await;
        match outcome {
            Ok(CommandOutcome::Change(outcome)) => Ok(outcome),
            Ok(outcome) => {
                log::error!(outcome:? = outcome; "outcome of another command");
                Err(ReplaceError::NoLeader)
            }
            Err(refusal) => {
                log::warn!(refusal:% = refusal; "change failed without a leader to accept it");
                Err(ReplaceError::NoLeader)
            }
        }
    }

    /// Waits until this VM has applied a version, which a follower does some time after the leader.
    /// Returns false if that takes too long.
    async fn catch_up(&self, version: Version) -> bool {
        const POLL_INTERVAL: Duration = Duration::from_millis(5);
        const TIMEOUT: Duration = Duration::from_millis(800);
        let end = self.node.clock.now() + TIMEOUT;
        while self.node.document().version < version {
            if self.node.clock.now() >= end {
                return false;
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        true
    }

    /// Plans which VMs hold shares of the allowances in each known region.
    fn plan_regions(
        &self,
        routing: &Routing,
    ) -> std::collections::BTreeMap<RegionId, ebonystand_core::Region> {
        let now = self.node.clock.now();
        let live = self.node.membership.live(now);
        let mut regions = BTreeSet::from([self.node.settings.region.clone()]);
        regions.extend(self.node.settings.gateway.zones.values().cloned());
        regions.extend(routing.regions().cloned());
        regions.extend(live.iter().map(|entry| entry.record.region.clone()));
        let log_holders = live.iter().filter(|entry| entry.record.holds_log);
        let log_holders = log_holders.map(|e| (e.record.vm.clone(), e.record.region.clone()));
        let log_holders = log_holders.collect::<Vec<_>>();
        let document = self.node.document();
        let plan = HolderPlan {
            region_delay: self.node.settings.gateway.region_delay,
            live: &log_holders,
            current: &document.regions,
            regions: &regions,
        };
        let planned = plan.plan_regions();
        let moved = planned.iter().filter(|(id, region)| {
            let current = document.regions.get(*id);
            current.is_none_or(|current| current.holders != region.holders)
        });
        for (id, region) in moved {
            log::info!(
                region:% = id, holders:% = region.holders.join(" "), revision = routing.revision,
                live_log_holders = log_holders.len();
                "change moves the region's allowances"
            );
        }
        planned
    }
}

/// Logs that a change was not accepted, and returns the error.
fn not_accepted(outcome: &ChangeOutcome) -> ReplaceError {
    log::error!(outcome:? = outcome; "change was not accepted");
    ReplaceError::NoLeader
}
