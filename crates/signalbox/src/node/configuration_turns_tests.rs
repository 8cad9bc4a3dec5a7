use super::*;

const WORK: Duration = Duration::from_millis(20);
const CALLS: usize = 10;

/// Long synchronous work.
fn work() {
    std::thread::sleep(WORK);
}

#[test]
fn the_loop_turns_between_two_long_calls() {
    trackbed::kernel::run(async {
        let turns = Rc::new(ConfigurationTurns::default());
        let calls: Vec<_> = (0..CALLS)
            .map(|_| {
                let turns = turns.clone();
                monoio::spawn(async move { turns.run(work).await })
            })
            .collect();
        let longest = monoio::spawn(async {
            let (mut longest, mut last) = (Duration::ZERO, clock::now());
            for _ in 0..CALLS * 20 {
                monoio::time::sleep(Duration::from_millis(1)).await;
                let now = clock::now();
                longest = longest.max(now.since(last));
                last = now;
            }
            longest
        });
        let mut done = 0;
        for call in calls {
            done += call.await.is_some() as usize;
        }
        assert_eq!(done, CALLS);
        let longest = longest.await;
        assert!(longest < WORK * CALLS as u32 / 2, "the loop stood still for {longest:?}");
    })
    .unwrap();
}

#[test]
fn a_call_whose_turn_does_not_come_is_given_up() {
    trackbed::kernel::run(async {
        let turns = ConfigurationTurns::default();
        turns.next.set(clock::now() + LONGEST_WAIT * 100);
        let begun = clock::now();
        let waiting = monoio::time::timeout(LONGEST_WAIT * 2, turns.run(work));
        turns.next.set(clock::now() + LONGEST_WAIT + WORK);
        assert_eq!(waiting.await.ok(), Some(Some(())), "it comes just in time");
        assert!(clock::now().since(begun) >= LONGEST_WAIT);
    })
    .unwrap();
}

#[test]
fn reads_are_counted_until_their_answers_are_through() {
    let turns = ConfigurationTurns::default();
    let reads: Vec<Guard> = (0..MOST_READS).filter_map(|_| turns.begin_read()).collect();
    assert_eq!((reads.len(), turns.begin_read().is_some()), (MOST_READS, false));
    drop(reads);
    assert!(turns.begin_read().is_some());
}
