use super::*;

/// Arguments of `drain`, which makes a VM finish its requests in flight and stop.
#[derive(Clone, Debug)]
pub(crate) struct Drain;

impl Drain {
    pub(crate) fn command() -> Command {
        Command::new("drain")
            .about("Drain the VM named by the first --server: it finishes what it has and stops")
            .after_help("Example:\n  ebonystandctl --server http://10.0.0.3:8080 … drain")
    }

    pub(crate) fn from_matches(_: &ArgMatches) -> Self {
        Self
    }

    pub(crate) async fn run(&self, cx: &Context) -> Result {
        let status = cx.client.drain().await?;
        cx.print(&status, || {
            format!("{} drains; {} requests run", status.vm, status.in_flight)
        })
    }
}
