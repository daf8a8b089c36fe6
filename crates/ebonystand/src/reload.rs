//! Takes over settings that change while the process runs.

use super::*;
use {membership_controller::MembershipController, node::Node, tokio::signal::unix::Signal};

/// Reads the settings again; `None` if that fails.
pub(crate) type Reload = Rc<dyn Fn() -> Option<Settings>>;

/// Time between two looks at settings that may change without a signal. They name VMs to meet, of
/// which a running VM knows enough for longer than this.
const EVERY: Duration = Duration::from_secs(5);

/// Reads the settings again after a SIGHUP, and from time to time, until the task is dropped. Seeds are
/// taken over; anything else needs a restart.
pub(crate) async fn run(node: Rc<Node>, reload: Option<Reload>, mut hangup: Signal) {
    let mut seeds = node.settings.seeds.clone();
    loop {
        let asked = tokio::select! {
            _ = hangup.recv() => true,
            () = actix_rt::time::sleep(EVERY) => false,
        };
        let Some(reload) = &reload else { continue };
        let Some(settings) = reload() else {
            log::warn!(asked = asked; "settings cannot be read again; the old ones stay");
            continue;
        };
        if asked || settings.seeds != seeds {
            log::info!(asked = asked, seeds:? = settings.seeds; "settings read again");
        }
        if settings.seeds != seeds {
            seeds = settings.seeds;
            MembershipController::add_seeds(&node, &seeds);
        }
    }
}
