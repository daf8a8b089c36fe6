//! `region` subcommand: lists the regions with their allowance holders and links.

use super::*;

pub(crate) fn command() -> Command {
    Command::new("region")
        .about("List regions with their links")
        .subcommand_required(true)
        .after_help("Example:\n  ebonystandctl … region list")
        .subcommand(Command::new("list").about("List regions"))
}

pub(crate) async fn run(cx: &Context) -> Result {
    let regions = cx.client.document().await?.regions;
    cx.print(&regions, || {
        let link = |(to, link): (&RegionId, &Link)| {
            format!("{to} {} ms {} Mbit/s", link.delay_ms, link.megabits)
        };
        let line = |(id, region): (&RegionId, &Region)| {
            let links: Vec<_> = region.links.iter().map(link).collect();
            format!(
                "{id}\tholders: {}\tlinks: {}",
                region.holders.join(" "),
                links.join(", ")
            )
        };
        regions.iter().map(line).collect::<Vec<_>>().join("\n")
    })
}
