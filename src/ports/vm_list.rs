//! The platform's list of VMs, which lags behind the actual VMs.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use super::{LogFault, PortFuture};

value_types! {
    /// The role of a VM.
    #[derive(Copy)]
    #[serde(rename_all = "lowercase")]
    pub enum VmRole {
        /// Runs a router.
        Entry,
        /// Runs an upstream.
        Worker,
    }

    /// The lifecycle state of a VM.
    #[derive(Copy)]
    #[serde(rename_all = "lowercase")]
    pub enum VmState {
        /// The VM is in use.
        Live,
        /// The VM is about to be removed.
        Leaving,
    }

    /// One VM as the platform describes it.
    #[serde(deny_unknown_fields)]
    pub struct VmEntry {
        /// The role of the VM.
        pub role: VmRole,
        /// The lifecycle state of the VM.
        pub state: VmState,
        /// The region of the VM.
        pub region: String,
        /// The failure domain of the VM.
        pub domain: String,
        /// The address of an entry VM for callers, or of a worker for routers.
        pub address: SocketAddr,
        /// The address of an entry VM for other routers.
        #[serde(default)]
        pub peer_address: Option<SocketAddr>,
        /// The address of an entry VM for operators.
        #[serde(default)]
        pub operator_address: Option<SocketAddr>,
        /// Processor capacity of an entry VM in hundredths of a core; 0 if
        /// unknown.
        #[serde(default)]
        pub capacity: u32,
        /// The service that a worker serves.
        #[serde(default)]
        pub service: String,
        /// The version of the service that a worker runs.
        #[serde(default)]
        pub version: String,
    }

    /// One version of the list of VMs.
    #[derive(Default)]
    pub struct VmList {
        /// The version; increases with each change of the list.
        pub version: u64,
        /// The VMs by name.
        pub vms: BTreeMap<String, VmEntry>,
    }
}

/// The platform's list of VMs.
pub trait VmListPort {
    /// Returns the list, waiting up to `wait` for one newer than `since`.
    ///
    /// If there is no newer list, the answer has the version `since` and no
    /// VMs, which keeps long polling cheap.
    ///
    /// # Errors
    ///
    /// After either fault the last known list stays in use.
    fn watch(
        &self,
        since: u64,
        wait: Duration,
    ) -> PortFuture<'_, Result<VmList, LogFault>>;
}
