//! What this VM shows operators of itself and of what it sees.

use super::*;
use {
    ebonystand_core::{
        AllowanceStatus, GroupMemberStatus, GroupStatus, MicroTokens, OperatorStatus,
        ReplicaStatus, UpstreamStatus, VmEntry, VmHealth, VmState, VmStatus,
        WorkspaceAllowanceStatus,
    },
    node::Node,
};

const MICRO: MicroTokens = 1_000_000;

pub(crate) fn of(node: &Node) -> OperatorStatus {
    let document = node.document();
    let now = node.clock.now();
    let upstreams = document.upstreams.iter();
    let allowances = node.allowance.status();
    OperatorStatus {
        allowances: allowances
            .iter()
            .filter_map(|status| allowance(&document, status))
            .collect(),
        draining: node.leaving(),
        groups: node.group.status().iter().map(group).collect(),
        limits: node.gateway.book.borrow().limits(now).collect(),
        notices: node.gateway.book.borrow().notices(now).collect(),
        parts: node.parts.statuses(now),
        preset: document.preset,
        ready: node.ready(),
        retry_budgets: node.gateway.retries.statuses(now),
        software: node.gateway.book.borrow().software_statuses(now).collect(),
        speeds: node.gateway.book.borrow().speeds(now).collect(),
        stream_origins: node.gateway.origins.held(),
        suspects: node.quarantine.statuses(now),
        upstreams: upstreams
            .map(|(id, upstream)| upstream_status(node, now, id, upstream))
            .collect(),
        version: document.version,
        vm: node.settings.vm.clone(),
        vms: node
            .membership
            .entries()
            .iter()
            .map(|entry| vm(node, now, entry))
            .collect(),
        withdrawals_pending: node.state.withdrawals_pending(),
    }
}

fn allowance(document: &Document, status: &AllowanceStatus) -> Option<WorkspaceAllowanceStatus> {
    let workspace = document.workspaces.get(&status.workspace)?;
    Some(WorkspaceAllowanceStatus {
        available: status.level / MICRO,
        burst: workspace.burst,
        rate: workspace.rate,
        rate_share: status.held.rate / MICRO,
        workspace: status.workspace.clone(),
    })
}

fn group(status: &ReplicaStatus) -> GroupStatus {
    let voters = &status.members.voters;
    let members = status.members.iter().map(|id| GroupMemberStatus {
        durable: None,
        incarnation: id.incarnation,
        voter: voters.contains(id),
        vm: id.vm.clone(),
    });
    GroupStatus {
        committed: status.commit_index,
        group: "configuration".into(),
        leader: status.leader.as_ref().map(|leader| leader.vm.clone()),
        members: members.collect(),
        term: status.term,
    }
}

fn upstream_status(
    node: &Node,
    now: Duration,
    id: &UpstreamId,
    upstream: &Upstream,
) -> UpstreamStatus {
    let view = node.routes.view(id);
    let report = view.report.as_ref();
    let age = report.map(|report| now.saturating_sub(report.at).as_millis() as u64);
    UpstreamStatus {
        available: !upstream.leaving,
        id: id.clone(),
        in_flight: view.in_flight,
        leaving: upstream.leaving,
        region: upstream.region.clone(),
        report_age_ms: age,
        reported_load: report.map(|report| report.load),
    }
}

fn vm(node: &Node, now: Duration, entry: &VmEntry) -> VmStatus {
    let record = &entry.record;
    let reachable = node.membership.reachable(now, &record.region);
    let health = match entry.state {
        VmState::Dead { .. } => VmHealth::Dead,
        _ if !reachable => VmHealth::Unreachable,
        VmState::Suspect { .. } => VmHealth::Suspect,
        VmState::Alive => VmHealth::Alive,
    };
    VmStatus {
        capacity: record.present_capacity(),
        health,
        http: record.http,
        incarnation: record.incarnation,
        leaving: entry.is_leaving(),
        peer: record.peer,
        region: record.region.clone(),
        version: record.version,
        vm: record.vm.clone(),
        zone: record.zone.clone(),
    }
}
