//! Calls that overlap when one is late.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use magnoliahaven::runtime::{
    OverlapOptions, OverlappedCalls, block_on, sleep,
};

const OVERDUE: Duration = Duration::from_millis(60);

/// Time between calls while one is overdue.
const AGAIN: Duration = Duration::from_millis(30);

/// Time by which a timer may be late.
const SLACK: Duration = Duration::from_millis(50);

fn calls<T: 'static>(max_in_flight: usize) -> OverlappedCalls<T> {
    OverlappedCalls::new(OverlapOptions {
        overdue_after: OVERDUE,
        extra_interval: AGAIN,
        max_in_flight,
    })
}

#[test]
fn a_silent_call_does_not_hold_up_the_next_one() {
    block_on(async {
        let calls = calls(3);
        let begun = Cell::new(0);
        let started = Instant::now();
        let answer = calls.next(|| {
            let number = begun.replace(begun.get() + 1);
            Some(async move {
                if number == 0 {
                    std::future::pending::<()>().await;
                }
                number
            })
        });
        let answer = answer.await;
        assert_eq!(answer.value, 1);
        assert!(answer.asked_at - started >= OVERDUE);
        assert!(started.elapsed() < OVERDUE + SLACK);
    })
    .unwrap();
}

/// Each answer takes four times as long as a call may before it is overdue.
#[test]
fn late_answers_come_as_often_as_calls_begin() {
    block_on(async {
        let calls = calls(12);
        let mut last = Instant::now();
        for round in 0..12 {
            let answer = calls.next(|| Some(sleep(OVERDUE * 4))).await;
            let age = answer.asked_at.elapsed();
            assert!(age < OVERDUE * 4 + SLACK, "{age:?}");
            let pause = last.elapsed();
            let most = if round < 2 { OVERDUE } else { AGAIN };
            assert!(round == 0 || pause < most + SLACK, "{pause:?}");
            last = Instant::now();
        }
    })
    .unwrap();
}

#[test]
fn no_more_calls_are_under_way_than_allowed() {
    block_on(async {
        let calls = calls::<()>(2);
        let under_way = Rc::new(Cell::new(0));
        let most = Rc::new(Cell::new(0));
        for _ in 0..6 {
            calls
                .next(|| {
                    let (under_way, most) = (under_way.clone(), most.clone());
                    Some(async move {
                        under_way.set(under_way.get() + 1);
                        most.set(most.get().max(under_way.get()));
                        sleep(OVERDUE * 5).await;
                        under_way.set(under_way.get() - 1);
                    })
                })
                .await;
        }
        assert_eq!(most.get(), 2);
    })
    .unwrap();
}

#[test]
fn one_call_at_a_time_is_enough_while_answers_are_prompt() {
    block_on(async {
        let calls = calls(4);
        let begun = Rc::new(Cell::new(0));
        for round in 1..=20 {
            let begun = begun.clone();
            calls
                .next(|| {
                    let begun = begun.clone();
                    Some(async move { begun.set(begun.get() + 1) })
                })
                .await;
            assert_eq!(begun.get(), round);
        }
        assert!(calls.try_next().is_none());
    })
    .unwrap();
}

/// An answer that is arriving, however slowly, is not asked for again.
#[test]
fn no_call_begins_while_the_answer_of_one_is_on_its_way() {
    block_on(async {
        let calls = calls(4);
        let begun = Rc::new(Cell::new(0));
        let answer = calls
            .next(|| {
                let is_receiving = begun.get() > 0;
                begun.set(begun.get() + 1);
                (!is_receiving).then(|| sleep(OVERDUE * 6))
            })
            .await;
        assert!(answer.asked_at.elapsed() >= OVERDUE * 6);
        assert_eq!(calls.in_flight(), 0);
        // It was looked at now and then, not without a pause.
        assert!((2..=20).contains(&begun.get()), "{}", begun.get());
    })
    .unwrap();
}
