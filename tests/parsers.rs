//! Property tests of the parsers of documents and settings, with a fixed seed.

use std::time::Duration;

use proptest::collection::{btree_map, vec};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use yuccahold::document::{self, Document, JobKind, Limits, Policy, Service, Team, Workload, Zone};
use yuccahold::resources::Resources;
use yuccahold::settings;
use yuccahold::workload::{Band, MemberLoss, Spread, WorkClass};

const SEED: u64 = 20_261_202;
const EXAMPLES: [&str; 4] = [
    include_str!("../examples/massfenster.yaml"),
    include_str!("../examples/torres.yaml"),
    include_str!("../examples/entry.yaml"),
    include_str!("../examples/control.yaml"),
];

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn name() -> impl Strategy<Value = compact_str::CompactString> {
    "[a-zA-Z0-9][a-zA-Z0-9_-]{0,8}".prop_map(Into::into)
}

fn amount() -> impl Strategy<Value = Resources> {
    (1..2_000_000_u32, 1..2_000_000_u32, 0..9_u32).prop_map(|(millicores, memory_mb, n)| {
        Resources {
            millicores,
            memory_mb,
            accelerators: n,
        }
    })
}

fn millis() -> impl Strategy<Value = Duration> {
    (1..1_000_000_000_u64).prop_map(Duration::from_millis)
}

fn team() -> impl Strategy<Value = Team> {
    (amount(), 1..=1000_u32, 0..9_u32, 0..9_u32).prop_map(|(quota, weight, rate, concurrent)| {
        let limits = Limits {
            requests_per_second: rate,
            concurrent,
        };
        Team {
            quota,
            weight,
            limits,
        }
    })
}

fn kind() -> impl Strategy<Value = JobKind> {
    let class = prop_oneof![Just(WorkClass::Batch), Just(WorkClass::Gang)];
    let band = prop_oneof![Just(Band::Spare), Just(Band::Normal), Just(Band::Urgent)];
    let spread = prop_oneof![Just(Spread::None), Just(Spread::Rack), Just(Spread::Zone)];
    let parts = (
        class,
        band,
        spread,
        amount(),
        millis(),
        1..900_u32,
        any::<bool>(),
    );
    parts.prop_map(|(class, band, spread, need, run_time, n, flag)| JobKind {
        class,
        band,
        spread,
        need,
        run_time,
        tasks: n,
        max_attempts: n,
        max_unavailable: n,
        idempotent: true,
        checkpoint: flag,
        accelerator: (need.accelerators > 0 && flag).then(|| "a10".into()),
        zones: vec!["z".into(); usize::from(flag)],
        on_member_loss: match class {
            WorkClass::Gang => MemberLoss::Replace,
            _ => MemberLoss::RestartAll,
        },
        ..JobKind::default()
    })
}

prop_compose! {
    fn a_document()(
        cell in name(),
        teams in btree_map(name(), team(), 1..4),
        kinds in btree_map(name(), kind(), 1..4),
        payloads in vec(any::<String>(), 0..4),
        deadline in millis(),
        flags in any::<(bool, bool)>(),
        waiting_weight in 0..=100_u32,
    ) -> Document {
        let owner = teams.keys().next().cloned().unwrap_or_default();
        let of_owner = |k: JobKind| JobKind { team: owner.clone(), ..k };
        let kinds: std::collections::BTreeMap<_, _> =
            kinds.into_iter().map(|(name, k)| (name, of_owner(k))).collect();
        let kind = kinds.keys().next().cloned().unwrap_or_default();
        let workload = |(i, payload): (usize, String)| {
            let payload = payload.into();
            (format!("w{i}").into(), Workload { kind: kind.clone(), tasks: 1, payload })
        };
        let service = Service {
            team: owner.clone(),
            deadline,
            idempotent: flags.0,
            slots: 8,
            connections: 64,
            body_limit: deadline.as_millis() as u64 % 8_000_000,
            ..Service::default()
        };
        Document {
            format: document::FORMAT,
            cell,
            region: "r".into(),
            zones: vec![Zone { name: "z".into() }],
            services: [("s".into(), service)].into(),
            workloads: payloads.into_iter().enumerate().map(workload).collect(),
            policy: Policy { waiting_weight, ..Policy::default() },
            teams,
            kinds,
            ..Document::default()
        }
    }
}

proptest! {
    #![proptest_config(config(300))]

    #[test]
    fn what_is_rendered_reads_as_the_same(d in a_document()) {
        let text = document::render(&d);
        let read = document::parse("rendered", &text);
        prop_assert_eq!(read.map_err(|e| format!("{}\n{text}", e.to_text())), Ok(d));
    }

    #[test]
    fn no_text_makes_a_reader_panic(text in "[ -~\n\t\u{85}é\u{2028}]{0,200}") {
        let _ = document::parse("random", &text);
        let _ = settings::parse_entry("random", &text);
        let _ = settings::parse_control("random", &text);
    }

    /// Truncated and corrupted files are parsed or give problems at a position inside the text.
    #[test]
    fn a_mangled_example_is_read_or_refused(
        example in 0..EXAMPLES.len(),
        cut in any::<prop::sample::Index>(),
        piece in "[-:{}\\[\\]&*!|>'\"%@`# \n\ta-z0-9é]{0,6}",
        keep_rest in any::<bool>(),
    ) {
        let text = EXAMPLES[example];
        let at = cut.index(text.len());
        let rest = if keep_rest { &text[at..] } else { "" };
        let mangled = format!("{}{piece}{rest}", &text[..at]);
        let problems = [
            document::parse("mangled", &mangled).err(),
            settings::parse_entry("mangled", &mangled).err(),
            settings::parse_control("mangled", &mangled).err(),
        ];
        let lines = mangled.lines().count() + 1;
        for problem in problems.iter().flatten().flat_map(|p| &p.problems) {
            prop_assert!((1..=lines).contains(&problem.line), "{problem:?}");
        }
        for problems in problems.iter().flatten() {
            prop_assert!(!problems.to_report(false).is_empty());
        }
    }
}
