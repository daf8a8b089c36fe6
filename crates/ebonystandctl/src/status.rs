//! `status` subcommand: prints the state of VMs, upstreams, groups and allowances as one VM sees it.

use super::*;

pub(crate) fn command() -> Command {
    Command::new("status")
        .about("Print the state of VMs, upstreams, groups and allowances as one VM sees it")
        .after_help("Example:\n  ebonystandctl … --json status")
}

pub(crate) async fn run(cx: &Context) -> Result {
    let status = cx.client.status().await?;
    cx.print(&status, || format_status(&status))
}

fn format_status(status: &OperatorStatus) -> String {
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
    lines.extend(status.vms.iter().map(|vm| {
        let leaving = if vm.leaving { " leaving" } else { "" };
        format!(
            "  VM {} in {}/{}: {}{leaving}, version {}",
            vm.vm, vm.region, vm.zone, vm.health, vm.version
        )
    }));
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
    lines.extend(status.upstreams.iter().map(|upstream| {
        let leaving = if upstream.leaving { " leaving" } else { "" };
        let available = if upstream.available {
            "available"
        } else {
            "not available"
        };
        format!(
            "  upstream {} in {}: {available}{leaving}, {} in flight",
            upstream.id, upstream.region, upstream.in_flight
        )
    }));
    lines.extend(status.limits.iter().map(|limit| {
        format!(
            "  limit {}: {:.2} requests/s named {} ms ago, {:.2} of them from this VM",
            limit.upstream, limit.per_s, limit.age_ms, limit.share_per_s
        )
    }));
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
