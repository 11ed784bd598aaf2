//! Tests of calls that overlap if one of them is late.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use magnoliahaven::runtime::{
    OverlapOptions, OverlappedCalls, block_on, sleep,
};

/// Time after which a call is overdue.
const OVERDUE_AFTER: Duration = Duration::from_millis(60);

/// Time between the starts of further calls while one is overdue.
const EXTRA_INTERVAL: Duration = Duration::from_millis(30);

/// Tolerance for late timers.
const TIMER_TOLERANCE: Duration = Duration::from_millis(50);

fn calls<T: 'static>(max_in_flight: usize) -> OverlappedCalls<T> {
    OverlappedCalls::new(OverlapOptions {
        overdue_after: OVERDUE_AFTER,
        extra_interval: EXTRA_INTERVAL,
        max_in_flight,
    })
}

#[test]
fn an_unanswered_call_does_not_delay_the_next_one() {
    block_on(async {
        let calls = calls(3);
        let started = Cell::new(0);
        let start = Instant::now();
        let answer = calls.next(|| {
            let number = started.replace(started.get() + 1);
            Some(async move {
                if number == 0 {
                    std::future::pending::<()>().await;
                }
                number
            })
        });
        let answer = answer.await;
        assert_eq!(answer.value, 1);
        assert!(answer.requested_at - start >= OVERDUE_AFTER);
        assert!(start.elapsed() < OVERDUE_AFTER + TIMER_TOLERANCE);
    })
    .unwrap();
}

/// Each answer takes four times as long as the time after which a call is
/// overdue. The answers still arrive as often as calls start.
#[test]
fn late_answers_arrive_as_often_as_calls_start() {
    block_on(async {
        let calls = calls(12);
        let mut last = Instant::now();
        for round in 0..12 {
            let answer = calls.next(|| Some(sleep(OVERDUE_AFTER * 4))).await;
            let age = answer.requested_at.elapsed();
            assert!(age < OVERDUE_AFTER * 4 + TIMER_TOLERANCE, "{age:?}");
            let pause = last.elapsed();
            let max_pause =
                if round < 2 { OVERDUE_AFTER } else { EXTRA_INTERVAL };
            assert!(
                round == 0 || pause < max_pause + TIMER_TOLERANCE,
                "{pause:?}"
            );
            last = Instant::now();
        }
    })
    .unwrap();
}

#[test]
fn no_more_calls_are_in_flight_than_allowed() {
    block_on(async {
        let calls = calls::<()>(2);
        let in_flight = Rc::new(Cell::new(0));
        let max_in_flight = Rc::new(Cell::new(0));
        for _ in 0..6 {
            calls
                .next(|| {
                    let (in_flight, max_in_flight) =
                        (in_flight.clone(), max_in_flight.clone());
                    Some(async move {
                        in_flight.set(in_flight.get() + 1);
                        max_in_flight
                            .set(max_in_flight.get().max(in_flight.get()));
                        sleep(OVERDUE_AFTER * 5).await;
                        in_flight.set(in_flight.get() - 1);
                    })
                })
                .await;
        }
        assert_eq!(max_in_flight.get(), 2);
    })
    .unwrap();
}

#[test]
fn calls_do_not_overlap_while_answers_are_prompt() {
    block_on(async {
        let calls = calls(4);
        let started = Rc::new(Cell::new(0));
        for round in 1..=20 {
            let started = started.clone();
            calls
                .next(|| {
                    let started = started.clone();
                    Some(async move { started.set(started.get() + 1) })
                })
                .await;
            assert_eq!(started.get(), round);
        }
        assert!(calls.try_next().is_none());
    })
    .unwrap();
}

/// While an answer is being received, however slowly, `make` returns `None`
/// and no further call may start.
#[test]
fn no_call_starts_while_an_answer_is_being_received() {
    block_on(async {
        let calls = calls(4);
        let started = Rc::new(Cell::new(0));
        let answer = calls
            .next(|| {
                let is_receiving = started.get() > 0;
                started.set(started.get() + 1);
                (!is_receiving).then(|| sleep(OVERDUE_AFTER * 6))
            })
            .await;
        assert!(answer.requested_at.elapsed() >= OVERDUE_AFTER * 6);
        assert_eq!(calls.in_flight(), 0);
        // `make` was called at intervals, not in a busy loop.
        assert!((2..=20).contains(&started.get()), "{}", started.get());
    })
    .unwrap();
}
