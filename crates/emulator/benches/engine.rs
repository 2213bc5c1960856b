//! Benchmarks of whole days and of the event queue and random streams.

use criterion::{criterion_group, criterion_main, BatchSize, Criterion, Throughput};
use meadowhold_emulator::chance::{Purpose, Stream};
use meadowhold_emulator::decider::control;
use meadowhold_emulator::event_queue::EventQueue;
use meadowhold_emulator::figures;
use meadowhold_emulator::scenario::{Figure, Scenario, Trouble, What};

fn days(c: &mut Criterion) {
    let one = Figure::One;
    let quiet = Scenario { seconds: one(20.0), ..Scenario::default() };
    let mut hang = quiet.clone();
    hang.trouble.push(Trouble::new(What::Hang, one(5.0), one(8.0), one(0.2), one(1.0)));
    let mut group = c.benchmark_group("day");
    group.sample_size(20);
    for (name, scenario) in [("quiet 3x30", quiet), ("hang 3x30", hang)] {
        group.throughput(Throughput::Elements(figures(&scenario, 1, &control).mails));
        group.bench_function(name, |b| b.iter(|| figures(&scenario, 1, &control)));
    }
    group.finish();
}

fn event_queue(c: &mut Criterion) {
    let mut stream = Stream::new(1, Purpose::Figures, 0);
    let times: Vec<u64> = (0..10_000).map(|_| stream.below(1_000_000) as u64).collect();
    c.bench_function("agenda: 10,000 put and taken", |b| {
        let put = |times: &[u64]| {
            let mut event_queue = EventQueue::default();
            times.iter().for_each(|&at| event_queue.schedule(at, at));
            event_queue
        };
        b.iter_batched(
            || put(&times),
            |mut event_queue| while event_queue.pop().is_some() {},
            BatchSize::SmallInput,
        )
    });
    c.bench_function("stream: named and drawn from once", |b| {
        let mut index = 0;
        b.iter(|| {
            index += 1;
            Stream::new(1, Purpose::Service, index).lognormal(0.8)
        })
    });
}

criterion_group!(benches, days, event_queue);
criterion_main!(benches);
