/// Why an upstream gets no request of a VM now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Ineligibility {
    /// Another server answers at its address.
    AddressReused,
    /// It is cold and has used up its rate.
    Cold,
    /// Its zone is evacuated.
    Evacuated,
    /// The request was tried there already.
    Excluded,
    /// The list or its answers say that it leaves.
    Leaving,
    /// It has a limit, and other VMs send to it.
    Limited,
    /// It takes connections of VMs of its own region only.
    OtherRegion,
    /// It runs a software version that must not get the request.
    OtherSoftware,
    /// It has asked this VM for a pause.
    Paused,
}
