//! Tasks that panic.

use std::{cell::Cell, rc::Rc, time::Duration};

use magnoliahaven::runtime::{
    OverlapOptions, OverlappedCalls, block_on, catch_panic, panic_count,
    sleep, spawn, spawn_loop,
};

/// Time in which a task that was started again has run.
const RESTART_TIME: Duration = Duration::from_secs(2);

/// LOST: the panic of one task ended the process and all requests in it.
#[test]
fn a_task_that_panics_ends_no_other_task() {
    let answered = Rc::new(Cell::new(false));
    let other = answered.clone();
    let panics = panic_count();
    block_on(async move {
        spawn("answer", async move {
            sleep(Duration::from_millis(50)).await;
            other.set(true);
        });
        spawn("odd", async { panic!("an odd number") });
        sleep(Duration::from_millis(100)).await;
        let caught = catch_panic("odd", async { panic!("{}", 2) });
        assert_eq!(caught.await, None::<()>);
    })
    .unwrap();
    assert!(answered.get());
    assert!(panic_count() >= panics + 2);
}

/// LOST: a loop that ended alone would leave its work undone for good.
#[test]
fn a_loop_that_panics_starts_again() {
    let rounds = Rc::new(Cell::new(0));
    let counted = rounds.clone();
    block_on(async move {
        spawn_loop("odd", move || {
            let rounds = counted.clone();
            async move {
                rounds.set(rounds.get() + 1);
                assert!(rounds.get() > 2, "the first two rounds fail");
            }
        });
        sleep(RESTART_TIME).await;
    })
    .unwrap();
    assert_eq!(rounds.get(), 3);
}

/// LOST: the panic of one call ended the process.
#[test]
fn a_call_that_panics_makes_room_for_the_next_one() {
    let calls = OverlappedCalls::new(OverlapOptions {
        overdue_after: Duration::from_millis(50),
        extra_interval: Duration::from_millis(20),
        max_in_flight: 1,
    });
    let started = Cell::new(0);
    let answer = block_on(async {
        let next = calls.next(|| {
            started.set(started.get() + 1);
            let number = started.get();
            Some(async move {
                assert!(number > 1, "the first call fails");
                number
            })
        });
        monoio::time::timeout(Duration::from_secs(2), next).await
    });
    let answer = answer.unwrap().expect("an answer");
    assert_eq!(answer.value, 2);
}
