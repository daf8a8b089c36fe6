//! `document` subcommand: prints the configuration document in force.

use super::*;

pub(crate) fn command() -> Command {
    Command::new("document")
        .about("Print the configuration document in force, as JSON")
        .after_help("Example:\n  ebonystandctl … document > now.json")
}

pub(crate) async fn run(cx: &Context) -> Result {
    let document = cx.client.document().await?;
    cx.print(&document, || {
        serde_json::to_string_pretty(&document).unwrap_or_default()
    })
}
