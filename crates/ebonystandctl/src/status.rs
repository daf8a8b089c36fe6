//! `status` subcommand: prints the state of VMs, upstreams, groups and allowances as one VM sees it.

use super::*;
use std::collections::BTreeMap;

/// Most VMs or upstreams that are printed line by line.
const MAX_LISTED: usize = 20;

pub(crate) fn command() -> Command {
    Command::new("status")
        .about("Print the state of VMs, upstreams, groups and allowances as one VM sees it")
        .after_help("Example:\n  ebonystandctl … --json status")
}

pub(crate) async fn run(cx: &Context) -> Result {
    let status = cx.client.status().await?;
    cx.print(&status, || format_status(&status))
}

/// Formats the state of a fleet for people; its length does not grow with a large fleet.
#[must_use]
pub fn format_status(status: &OperatorStatus) -> String {
    let mut lines = vec![format!(
        "VM {}: version {}, preset {}, {}",
        status.vm,
        status.version,
        status.preset,
        match (status.draining, status.ready) {
            (true, _) => "draining",
            (false, true) => "ready",
            (false, false) => "not ready",
        }
    )];
    lines.extend(format_vms(&status.vms, status.version));
    lines.extend(status.groups.iter().map(|group| {
        let leader = group.leader.as_deref().unwrap_or("none");
        let members: Vec<_> = group.members.iter().map(|member| &*member.vm).collect();
        format!(
            "  group {}: leader {leader}, term {}, committed {}, members {}",
            group.group,
            group.term,
            group.committed,
            members.join(" ")
        )
    }));
    lines.extend(format_upstreams(&status.upstreams));
    lines.extend(status.limits.iter().map(|limit| {
        format!(
            "  limit {}: {:.2} requests/s named {} ms ago, {:.2} of them from this VM",
            limit.upstream, limit.per_s, limit.age_ms, limit.share_per_s
        )
    }));
    let notices = status.notices.iter().map(|notice| {
        let leaves = if notice.is_leaving { ", leaves" } else { "" };
        let (upstream, pause_ms) = (&notice.upstream, notice.pause_ms);
        let sheds = notice.shed_tolerance.map_or(String::new(), |tolerance| {
            format!(", goes down if it turns away more than {tolerance} requests a second")
        });
        format!("  upstream {upstream}: wants a pause of {pause_ms} ms more{leaves}{sheds}")
    });
    lines.extend(listed(notices, "notices of upstreams"));
    let speeds = status.speeds.iter().map(|speed| {
        let (upstream, per_ms) = (&speed.upstream, speed.reading_speed);
        let now = speed.time_percent.map_or(String::new(), |percent| {
            format!(", work takes {percent} % of its usual time now")
        });
        let from = speed.learned_from;
        format!("  speed {upstream}: reads {per_ms:.1} tokens/ms by {from} prompts of all VMs{now}")
    });
    lines.extend(listed(speeds, "speeds of upstreams"));
    let software = status.software.iter().map(|software| {
        let held_back = match software.takes_streams {
            true => "",
            false => ", too new for streams that may be taken up again",
        };
        format!(
            "  software {} of {}: {} upstreams, {} leaving{held_back}",
            software.software, software.service, software.listed, software.leaving
        )
    });
    lines.extend(listed(software, "software versions of services"));
    if status.stream_origins > 0 {
        let held = status.stream_origins;
        lines.push(format!("  origins of {held} streams held here"));
    }
    let budgets = status.retry_budgets.iter().map(|budget| {
        format!(
            "  retries of {}: {:.1} available and {} on their way, of {:.1}; {} requests in 10 s",
            budget.service, budget.available, budget.pending, budget.reserve, budget.requests
        )
    });
    lines.extend(listed(budgets, "retry budgets"));
    let suspects = status.suspects.iter().map(|suspect| {
        format!(
            "  request {}: {}, {} crashes counted here ({}), for {} s",
            suspect.fingerprint,
            match suspect.is_quarantined {
                true => "quarantined",
                false => "suspected",
            },
            suspect.crashes,
            suspect.crashed_upstreams.join(" "),
            suspect.remaining_ms / 1_000
        )
    });
    lines.extend(listed(suspects, "requests that crash upstreams"));
    let parts = status.parts.iter().map(|part| {
        format!(
            "  part {} of prompts for {}: {}, crashes counted here: {}, for {} s",
            part.part,
            part.service,
            match part.stage {
                PartStage::Quarantined => "quarantined",
                _ => "suspected",
            },
            part.crashed_upstreams.join(" "),
            part.remaining_ms / 1_000
        )
    });
    lines.extend(listed(parts, "parts of prompts that crash upstreams"));
    lines.extend(status.allowances.iter().map(|allowance| {
        format!(
            "  allowance {}: {} of {} tokens/s, {} available of burst {}",
            allowance.workspace,
            allowance.rate_share,
            allowance.rate,
            allowance.available,
            allowance.burst
        )
    }));
    lines.join("\n")
}

/// Formats the VMs: each of them if they are few, else their numbers by zone and those that need
/// attention.
fn format_vms(vms: &[VmStatus], version: Version) -> Vec<String> {
    let line = |vm: &VmStatus| {
        let leaving = if vm.leaving { " leaving" } else { "" };
        format!(
            "  VM {} in {}/{}: {}{leaving}, version {}, capacity {}",
            vm.vm, vm.region, vm.zone, vm.health, vm.version, vm.capacity
        )
    };
    if vms.len() <= MAX_LISTED {
        return vms.iter().map(line).collect();
    }
    let needs_attention =
        |vm: &&VmStatus| vm.health != VmHealth::Alive || vm.leaving || vm.version < version;
    let mut zones = BTreeMap::<_, (usize, usize)>::new();
    for vm in vms {
        let (all, unsound) = zones.entry((&vm.region, &vm.zone)).or_default();
        *all += 1;
        *unsound += usize::from(needs_attention(&vm));
    }
    let zones = zones.into_iter().map(|((region, zone), (all, unsound))| {
        format!("  {all} VMs in {region}/{zone}, {unsound} not alive, leaving or behind")
    });
    let mut lines = zones.collect::<Vec<_>>();
    let unsound = vms.iter().filter(needs_attention);
    lines.extend(listed(unsound.map(line), "VMs"));
    lines
}

/// Formats the upstreams of the configuration: each of them if they are few, else their numbers by
/// region and those that get no requests.
fn format_upstreams(upstreams: &[UpstreamStatus]) -> Vec<String> {
    let line = |upstream: &UpstreamStatus| {
        let leaving = if upstream.leaving { " leaving" } else { "" };
        let available = match upstream.available {
            true => "available",
            false => "not available",
        };
        format!(
            "  upstream {} in {}: {available}{leaving}, {} in flight",
            upstream.id, upstream.region, upstream.in_flight
        )
    };
    if upstreams.len() <= MAX_LISTED {
        return upstreams.iter().map(line).collect();
    }
    let mut regions = BTreeMap::<_, (usize, usize)>::new();
    for upstream in upstreams {
        let (all, unavailable) = regions.entry(&upstream.region).or_default();
        *all += 1;
        *unavailable += usize::from(!upstream.available);
    }
    let regions = regions.into_iter().map(|(region, (all, unavailable))| {
        format!("  {all} upstreams in {region}, {unavailable} not available")
    });
    let mut lines = regions.collect::<Vec<_>>();
    let unavailable = upstreams.iter().filter(|upstream| !upstream.available);
    lines.extend(listed(unavailable.map(line), "upstreams"));
    lines
}

/// Returns the first lines, and how many of the `what` are left out.
fn listed(lines: impl Iterator<Item = String>, what: &str) -> Vec<String> {
    let mut lines = lines.collect::<Vec<_>>();
    let left_out = lines.len().saturating_sub(MAX_LISTED);
    lines.truncate(MAX_LISTED);
    if left_out > 0 {
        lines.push(format!("  and {left_out} more {what}; --json lists all"));
    }
    lines
}
