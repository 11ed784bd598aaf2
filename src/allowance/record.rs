//! What one VM has taken out of one account.

value_types! {
    /// The use that one VM makes of one client account.
    ///
    /// Both counts are cumulative over all incarnations of the VM, so that
    /// a repeated or late record changes nothing.
    #[derive(Copy, Default)]
    pub struct AllowanceRecord {
        /// The incarnation that wrote the record.
        #[serde(rename = "i")]
        pub incarnation: u64,
        /// Tokens taken out of the prepaid total.
        #[serde(rename = "t")]
        pub taken: u64,
        /// Tokens that requests have used.
        #[serde(rename = "s")]
        pub spent: u64,
        /// Tokens lent to other VMs, less those borrowed from them.
        #[serde(rename = "n", default)]
        pub lent: i64,
        /// Tokens that earlier incarnations left behind. Nobody knows
        /// whether they were spent, so nobody spends them.
        #[serde(rename = "l", default)]
        pub lost: u64,
        /// Tokens that a request waits for and that nobody has left.
        #[serde(rename = "w", default)]
        pub wanted: u64,
    }
}

impl AllowanceRecord {
    /// Tokens that the VM can still give to requests or to other VMs, as
    /// far as the record tells.
    pub fn unspent(&self) -> u64 {
        let rights = self.taken.saturating_add_signed(-self.lent);
        rights.saturating_sub(self.spent + self.lost)
    }

    /// The record as it stands in the topic.
    pub fn encode(&self) -> String {
        // The record consists of whole numbers.
        serde_json::to_string(self).expect("serializable record")
    }

    /// Reads a record; `None` if it is not one.
    pub fn decode(text: &str) -> Option<AllowanceRecord> {
        serde_json::from_str(text).ok()
    }
}

/// The key of a VM's record about an account.
pub fn allowance_key(account: &str, vm: &str) -> String {
    format!("{account}/{vm}")
}

/// The account and the VM of a key.
pub(super) fn split_key(key: &str) -> Option<(&str, &str)> {
    key.split_once('/')
}
