//! The record of what one VM has taken out of one account.

value_types! {
    /// The usage of one client account by one VM.
    ///
    /// All counts are cumulative over the incarnations of the VM, so that a
    /// repeated or late record changes nothing.
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
        /// Tokens that earlier incarnations took and did not record as
        /// spent. They may have been spent, so they are never used again.
        #[serde(rename = "l", default)]
        pub lost: u64,
        /// Tokens taken by the earlier incarnations that the writer knows of.
        #[serde(rename = "b", default)]
        pub base: u64,
        /// The era of the topic in which the record was written.
        #[serde(rename = "e", default)]
        pub era: u64,
        /// Tokens that requests wait for and that are not free.
        #[serde(rename = "w", default)]
        pub wanted: u64,
        /// Tokens for the requests in progress and those that wait, the most
        /// that these may use.
        #[serde(rename = "r", default)]
        pub reserved: u64,
    }
}

impl AllowanceRecord {
    /// Returns the tokens that the VM can still give to requests or to other
    /// VMs, by this record.
    pub fn unspent(&self) -> u64 {
        let rights = self.taken.saturating_add_signed(-self.lent);
        rights.saturating_sub(self.spent + self.lost)
    }

    /// Returns the record as it counts once its incarnation has ended: what
    /// it had left is lost, and no request is in progress or waits for
    /// tokens.
    pub fn after_end(mut self) -> AllowanceRecord {
        self.lost += self.unspent();
        self.wanted = 0;
        self.reserved = 0;
        self
    }

    /// Encodes the record as stored in the topic.
    pub fn encode(&self) -> String {
        // All fields are integers, which always serialize.
        serde_json::to_string(self).expect("serializable record")
    }

    /// Decodes a record; returns `None` if `text` is not one.
    pub fn decode(text: &str) -> Option<AllowanceRecord> {
        serde_json::from_str(text).ok()
    }
}

/// Returns the topic key of a VM's record for an account.
pub fn allowance_key(account: &str, vm: &str) -> String {
    format!("{account}/{vm}")
}

/// Splits a topic key into account and VM.
pub(super) fn split_key(key: &str) -> Option<(&str, &str)> {
    key.split_once('/')
}
