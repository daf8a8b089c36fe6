//! Filter: refuses, before the body is read, a workspace that may not be served in this region.

use super::*;
use {caller::Caller, node::Node};

pub(crate) fn check(node: &Node, caller: &Caller) -> Result<(), Refusal> {
    let document = node.document();
    let allowed = document
        .workspaces
        .get(&caller.workspace)
        .is_some_and(|workspace| workspace.residency.contains(&node.settings.region));
    if allowed {
        return Ok(());
    }
    Err(Refusal::not_run(
        RefusalCode::Residency,
        "the workspace may not be served in this region; see the entry list",
    ))
}
