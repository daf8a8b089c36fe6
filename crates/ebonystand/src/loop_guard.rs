//! Filter: refuses a request that the gateway itself sent.
//!
//! An upstream's address may by mistake be a VM of the gateway. Its request would then be
//! dispatched for ever and fill every VM. Each dispatch carries a `via` header and each VM refuses
//! a request that has it, so the first round ends the loop.

use super::*;

pub(crate) const VIA: &str = "1.1 ebonystand";

pub(crate) fn check(req: &Request) -> Result<(), Refusal> {
    let via = req.headers().get_all("via");
    let passed = via
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|hop| hop.trim() == VIA);
    if passed {
        return Err(Refusal::not_run(
            RefusalCode::LoopDetected,
            "the request has passed the gateway already",
        ));
    }
    Ok(())
}
