//! The platform's lagging list of VMs.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use super::{LogFault, PortFuture};

value_types! {
    /// What a VM is used for.
    #[derive(Copy)]
    #[serde(rename_all = "lowercase")]
    pub enum VmRole {
        /// Runs a router of the system.
        Entry,
        /// Runs an upstream.
        Worker,
    }

    /// Whether a VM stays.
    #[derive(Copy)]
    #[serde(rename_all = "lowercase")]
    pub enum VmState {
        /// The VM is in use.
        Live,
        /// The VM is about to go.
        Leaving,
    }

    /// One VM as the platform describes it.
    #[serde(deny_unknown_fields)]
    pub struct VmEntry {
        /// What the VM is used for.
        pub role: VmRole,
        /// Whether the VM stays.
        pub state: VmState,
        /// The region of the VM.
        pub region: String,
        /// The failure domain of the VM.
        pub domain: String,
        /// Where callers reach an entry VM, and routers reach a worker.
        pub address: SocketAddr,
        /// Where other routers reach an entry VM.
        #[serde(default)]
        pub peer_address: Option<SocketAddr>,
        /// Where operators reach an entry VM.
        #[serde(default)]
        pub operator_address: Option<SocketAddr>,
        /// Processor of an entry VM in hundredths of a core; 0 if it is not
        /// known.
        #[serde(default)]
        pub capacity: u32,
        /// The service that a worker serves.
        #[serde(default)]
        pub service: String,
        /// The version of the service that a worker runs.
        #[serde(default)]
        pub version: String,
    }

    /// A version of the list of VMs.
    #[derive(Default)]
    pub struct VmList {
        /// Grows with each change of the list.
        pub version: u64,
        /// The VMs by name.
        pub vms: BTreeMap<String, VmEntry>,
    }
}

/// The platform's list of VMs.
pub trait VmListPort {
    /// Returns the list, waiting up to `wait` for one newer than `since`.
    ///
    /// Without a newer one the answer has the known version and no VMs, so
    /// that waiting costs next to nothing.
    ///
    /// # Errors
    ///
    /// Either fault means that the last known list stays in use.
    fn watch(
        &self,
        since: u64,
        wait: Duration,
    ) -> PortFuture<'_, Result<VmList, LogFault>>;
}
