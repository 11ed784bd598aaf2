//! Property tests of subsetting, the admission queue and entry answers, some
//! of them against a naive implementation.

mod common;

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use {
    common::entry_vms,
    magnoliahaven::{
        config::CallClass,
        entry::{EntryHealth, rank_entries},
        membership::VmDirectory,
        ports::VmList,
        routing::{
            AdmissionQueue, PlacementHint, QueuedRequest, SubsetPlan,
            upstream_shares,
        },
    },
    proptest::prelude::*,
};

fn names(prefix: &str, count: usize) -> Vec<String> {
    let mut names: Vec<String> =
        (0..count).map(|number| format!("{prefix}-{number}")).collect();
    names.sort();
    names
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 600,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_206),
        ..ProptestConfig::default()
    })]

    /// The shares of all routers at an upstream add up to its limit at most,
    /// even if some routers lack one of the others in their list.
    #[test]
    fn shares_add_up_to_less_than_the_limit(
        routers in 1..60usize,
        upstreams in 1..40usize,
        limit in 8..128u32,
        missing in proptest::collection::vec(any::<bool>(), 60),
        lost in 0..60usize,
    ) {
        let routers = names("router", routers);
        let upstreams = names("worker", upstreams);
        let mut in_use: BTreeMap<String, u32> = BTreeMap::new();
        for (number, router) in routers.iter().enumerate() {
            let mut known = routers.clone();
            let lost = lost % routers.len();
            if missing[number] && lost != number {
                known.remove(lost);
            }
            let plan =
                SubsetPlan { routers: &known, upstreams: &upstreams, limit };
            for share in upstream_shares(&plan, router) {
                *in_use.entry(share.upstream).or_default() += share.slots;
            }
        }
        for (upstream, slots) in in_use {
            prop_assert!(slots <= limit, "{upstream}: {slots} of {limit}");
        }
    }

    /// With equal lists the upstreams are shared evenly, and with enough
    /// routers at least five eighths of each limit are shared out: a share is
    /// at most an eighth of the limit, two shares are reserved, and rounding
    /// costs less than one share.
    #[test]
    fn upstreams_are_shared_evenly(
        routers in 1..100usize,
        upstreams in 1..50usize,
        limit in 8..128u32,
    ) {
        let routers = names("router", routers);
        let upstreams = names("worker", upstreams);
        let plan =
            SubsetPlan { routers: &routers, upstreams: &upstreams, limit };
        let mut in_use: BTreeMap<String, u32> = BTreeMap::new();
        for router in &routers {
            for share in upstream_shares(&plan, router) {
                *in_use.entry(share.upstream).or_default() += share.slots;
            }
        }
        let most = in_use.values().max().copied().unwrap_or(0);
        let least = in_use.values().min().copied().unwrap_or(0);
        // Routers without a share add single slots.
        prop_assert!(most - least <= 4, "{least} to {most}");
        prop_assert!(routers.len() < 3 || least * 4 >= limit * 2);
        prop_assert!(routers.len() < 30 || least * 8 >= limit * 5);
    }

    /// The loss of a VM moves only the accounts that had it in first place.
    #[test]
    fn a_lost_vm_moves_only_its_own_accounts(
        vms in 2..30usize,
        lost in 0..30usize,
        account in "[a-z]{1,8}",
    ) {
        let vms = entry_vms(vms, &["r-0", "r-1"], 3);
        let lost = format!("vm-{}", lost % vms.len());
        let healthy = |_: &str| EntryHealth::default();
        let before = rank_entries(vms.iter(), &account, "r-0", healthy);
        let after = rank_entries(vms.iter(), &account, "r-0", |vm| {
            EntryHealth { unusable: vm == lost, full: false }
        });
        prop_assert!(after.iter().all(|entry| entry.vm != lost));
        if before[0].vm != lost {
            prop_assert_eq!(&before[0].vm, &after[0].vm);
        }
    }

    /// An answer begins with a VM of the caller's region, ranks no full VM
    /// before a free one there, and has a VM of another failure domain in
    /// second place.
    #[test]
    fn answers_are_near_free_and_spread(
        vms in 1..30usize,
        full in proptest::collection::vec(any::<bool>(), 30),
        account in "[a-z]{1,8}",
    ) {
        let vms = entry_vms(vms, &["r-0", "r-1"], 3);
        let is_full = |vm: &str| {
            let number: usize = vm.trim_start_matches("vm-").parse().unwrap();
            full[number]
        };
        let answer = rank_entries(vms.iter(), &account, "r-1", |vm| {
            EntryHealth { unusable: false, full: is_full(vm) }
        });
        prop_assert!(!answer.is_empty());
        let near = vms.values().any(|entry| entry.region == "r-1");
        prop_assert!(!near || answer[0].region == "r-1");
        let near_free = vms.iter().any(|(vm, entry)| {
            entry.region == "r-1" && !is_full(vm)
        });
        prop_assert!(!near_free || !is_full(&answer[0].vm));
        let first = &answer[0].domain;
        let spread = vms.values().any(|entry| entry.domain != *first);
        prop_assert!(!spread || answer[1].domain != *first);
    }

    /// The queue serves requests in the order of a sort over all of them.
    #[test]
    fn the_queue_agrees_with_a_naive_search(
        calls in proptest::collection::vec((0..3usize, 0..4u8), 1..60),
        busy in proptest::collection::vec(0..5usize, 4),
    ) {
        let now = Instant::now();
        let mut queue = AdmissionQueue::new();
        let mut naive = Vec::new();
        for (class, account) in calls {
            let class = CallClass::ALL[class];
            let ticket = queue.push(queued_request(class, account, now)).unwrap();
            naive.push((class, busy[usize::from(account)], ticket));
        }
        naive.sort();
        for (_, _, expected) in naive {
            let count = |name: &str| busy[name.parse::<usize>().unwrap()];
            let next = queue.next_ticket(now, count, |_| true);
            prop_assert_eq!(next, Some(expected));
            queue.remove(expected);
        }
        prop_assert!(queue.is_empty());
    }
}

fn queued_request(
    class: CallClass,
    account: u8,
    now: Instant,
) -> QueuedRequest {
    QueuedRequest {
        priority: class.priority(),
        is_draft: class == CallClass::Draft,
        account: account.to_string(),
        version: Some("v1".to_owned()),
        avoided_version: None,
        excluded: Vec::new(),
        affinity: String::new(),
        hint: PlacementHint::default(),
        draft_percent: 100,
        deadline: now + Duration::from_secs(1),
    }
}

#[test]
fn a_full_class_takes_no_more_and_leaves_room_for_others() {
    let now = Instant::now();
    let mut queue = AdmissionQueue::new();
    let drafts = (0..1_000).filter(|_| {
        queue.push(queued_request(CallClass::Draft, 0, now)).is_some()
    });
    assert_eq!(drafts.count(), 256);
    assert!(queue.push(queued_request(CallClass::Urgent, 0, now)).is_some());
}

#[test]
fn a_request_past_its_deadline_is_not_served() {
    let now = Instant::now();
    let mut queue = AdmissionQueue::new();
    queue.push(queued_request(CallClass::Check, 0, now)).unwrap();
    let later = now + Duration::from_secs(2);
    assert_eq!(queue.next_ticket(later, |_| 0, |_| true), None);
}

/// Guards against an expected wait that counts the flood of one account
/// against another one, whose requests would then be refused without need.
#[test]
fn a_flood_is_not_ahead_of_another_account() {
    let now = Instant::now();
    let mut queue = AdmissionQueue::new();
    for _ in 0..100 {
        queue.push(queued_request(CallClass::Check, 1, now)).unwrap();
    }
    let busy = |account: &str| if account == "1" { 16 } else { 0 };
    assert_eq!(queue.count_ahead(CallClass::Check.priority(), "2", busy), 0);
    assert_eq!(queue.count_ahead(CallClass::Check.priority(), "1", busy), 100);
    // Accounts with equal numbers of requests in progress take turns.
    let level = |_: &str| 2;
    assert_eq!(queue.count_ahead(CallClass::Check.priority(), "2", level), 1);
    assert_eq!(queue.count_ahead(CallClass::Draft.priority(), "2", busy), 100);
}

/// `is_first_for` agrees with the first place of the whole ranking.
#[test]
fn the_first_vm_is_the_head_of_the_ranking() {
    let list = VmList { version: 1, vms: entry_vms(9, &["r-0", "r-1"], 3) };
    for number in 0..9 {
        let vm = format!("vm-{number}");
        let directory = VmDirectory::new(&vm);
        directory.update(list.clone());
        for key in 0..200 {
            let key = format!("account-{key}");
            let head = directory.ranked_entry_vms(&key).remove(0);
            assert_eq!(directory.is_first_for(&key), head == vm);
        }
    }
    assert!(!VmDirectory::new("vm-0").is_first_for("account-0"));
}
