//! Filter: reads the deadline that a request brings.

use super::*;
use {ebonystand_core::Deadline, node::Node};

const HEADER: &str = "x-ebonystand-deadline-ms";

pub(crate) fn read(node: &Node, req: &Request) -> Result<Deadline, Refusal> {
    let document = node.document();
    let now = node.clock.now();
    let Some(value) = req.headers().get(HEADER) else {
        return Ok(Deadline::new(now, None, document.preset()));
    };
    let asked = value.to_str().ok().and_then(|text| text.parse().ok());
    let Some(asked) = asked else {
        let message = format!("{HEADER} must be a number of milliseconds");
        return Err(Refusal::not_run(RefusalCode::BadHeader, message));
    };
    let asked = Duration::from_millis(asked);
    Ok(Deadline::new(now, Some(asked), document.preset()))
}
