//! Parsers of the platform's documents: valid ones are parsed completely, invalid ones refused with
//! one sentence.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use yuccahold::platform::{
    Boot, decode_advice, decode_config, decode_job, decode_listing, decode_report,
    parse_control_args,
};

const JOB: &str = r#"{"spec":"text","steps":[{"count":4,"cpu":500,"mem_mb":256,"est_ms":900,
    "data_rack":"r1-3"},{"count":20,"cpu":2000,"depends_on":[0],"saves_progress":true}]}"#;
const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r","host":"h.example","path_prefix":"/a/",
    "kind":"unsafe","timeout_ms":3000,"slo_ms":250,"priority":0,"service":"s","attempts":3,
    "stretch":1.5,"advice":{"decide_ms":23.5,"each_ms":0.3,"validity_ms":2000}}],
    "services":[{"name":"s","admission_check":false,"standby":false}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,
    "idle_timeout_ms":15000}}"#;
const REPORT: &str = r#"{"service":"s","addr":"10.128.0.9:8080","zone":"mixco","version":"v1",
    "slots":8,"state":"draining","remaining_ms":2000,"cold_left_ms":0,
    "capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r1-3"],"clock_ms":482113,
    "born":1700000000123,"seq":4}"#;
const BOOT: &str = "node=core-1\nip=10.1.0.15\nzone=bern-a\nlisten.control=10.1.0.15:8166\n\
    port_range=7720,7735\nseeds=10.1.0.15:8166,10.2.0.32:8166\nbootstrap=true\nsomething.new=1\n\
    bounds.grace_s=6\nbounds.hold_max_ms=6000\n";

#[test]
fn the_contracts_examples_are_parsed() {
    let job = decode_job(JOB.as_bytes()).expect("a job");
    let config = decode_config(CONFIG.into()).expect("a configuration");
    let report = decode_report("i-1", REPORT.as_bytes()).expect("a report");
    insta::assert_debug_snapshot!((job, config.version, config.parsed, report));
}

#[rstest]
#[case::no_steps(r#"{"spec":"","steps":[]}"#)]
#[case::steps_missing(r#"{"spec":""}"#)]
#[case::count_zero(r#"{"steps":[{"cpu":1}]}"#)]
#[case::count_of_millions(r#"{"steps":[{"count":5000000}]}"#)]
#[case::count_negative(r#"{"steps":[{"count":-1}]}"#)]
#[case::depends_on_itself(r#"{"steps":[{"count":1,"depends_on":[0]}]}"#)]
#[case::depends_on_a_later_one(r#"{"steps":[{"count":1,"depends_on":[1]},{"count":1}]}"#)]
#[case::depends_on_none_that_exists(r#"{"steps":[{"count":1,"depends_on":[7]}]}"#)]
#[case::time_negative(r#"{"steps":[{"count":1,"est_ms":-5}]}"#)]
#[case::time_absurd(r#"{"steps":[{"count":1,"est_ms":1e300}]}"#)]
#[case::field_twice(r#"{"spec":"a","spec":"b","steps":[{"count":1}]}"#)]
#[case::cut_short(r#"{"spec":"a","steps":[{"count":1}"#)]
#[case::not_text("\u{0}")]
fn an_invalid_job_is_refused(#[case] body: &str) {
    assert!(decode_job(body.as_bytes()).is_err());
}

#[rstest]
#[case::unknown_service(&CONFIG.replace(r#""service":"s""#, r#""service":"t""#))]
#[case::timeout_zero(&CONFIG.replace(r#""timeout_ms":3000"#, r#""timeout_ms":0"#))]
#[case::no_version(&CONFIG.replace(r#""version":7,"#, ""))]
#[case::cut_short(&CONFIG[..CONFIG.len() / 2])]
fn an_invalid_configuration_is_refused(#[case] body: &str) {
    assert!(decode_config(body.to_owned().into()).is_err());
}

fn with_tenants(tenants: &str) -> String {
    CONFIG.replacen('{', &format!(r#"{{"tenants":[{tenants}],"#), 1)
}

/// Guards against a configuration that gives one key to two workspaces or has invalid workspaces,
/// and against refusals that show a key.
#[rstest]
#[case::shared_key(r#"{"name":"a","api_keys":["secret"]},{"name":"b","api_keys":["secret"]}"#)]
#[case::name_twice(r#"{"name":"a","api_keys":["secret"]},{"name":"a"}"#)]
#[case::empty_key(r#"{"name":"a","api_keys":["secret",""]}"#)]
#[case::key_of_another_type(r#"{"name":"a","api_keys":["secret",{"secret":"secret"}]}"#)]
#[case::keys_of_another_type(r#"{"name":"a","api_keys":"secret"}"#)]
#[case::no_name(r#"{"api_keys":["secret"]}"#)]
#[case::weight_negative(r#"{"name":"a","api_keys":["secret"],"weight":-1}"#)]
#[case::weight_absurd(r#"{"name":"a","api_keys":["secret"],"weight":1e300}"#)]
#[case::limit_negative(r#"{"name":"a","api_keys":["secret"],"max_count":{"cpu":-5}}"#)]
#[case::limit_absurd(r#"{"name":"a","api_keys":["secret"],"max_count":{"cpu":5000000000}}"#)]
fn invalid_tenants_are_refused(#[case] tenants: &str) {
    let why = decode_config(with_tenants(tenants).into()).expect_err("refused");
    assert!(!why.contains("secret"), "{why}");
}

#[rstest]
#[case::none("")]
#[case::without_keys(r#"{"name":"a"}"#)]
#[case::key_listed_twice(r#"{"name":"a","api_keys":["secret","secret"],"weight":14}"#)]
#[case::no_limit(r#"{"name":"a","api_keys":["x"],"max_count":{"cpu":0,"mem_mb":0,"gpu":0}}"#)]
fn valid_tenants_are_accepted(#[case] tenants: &str) {
    let order = decode_config(with_tenants(tenants).into()).expect("understood");
    let parsed = format!("{:?}", order.parsed);
    assert!(!parsed.contains("secret"), "{parsed}");
}

#[test]
fn two_routes_with_one_prefix_are_refused() {
    let route = &CONFIG[CONFIG.find(r#"{"name":"r""#).expect("a route")..];
    let route = &route[..route.find("}}]").expect("its end") + 2];
    let twice = CONFIG.replace(route, &format!("{route},{route}"));
    assert!(decode_config(twice.into()).is_err());
}

#[test]
fn all_problems_of_the_settings_are_reported() {
    assert!(Boot::parse(BOOT).is_ok());
    let wrong = BOOT
        .replace("ip=10.1.0.15\n", "ip=here\n")
        .replace("bounds.hold_max_ms=6000\n", "")
        .replace("zone=bern-a\n", "no value at all\n");
    let problems = Boot::parse(&wrong).expect_err("three problems");
    insta::assert_debug_snapshot!(problems);
}

/// Guards against limits of a process that are read wrongly, or refused as they are no whole numbers.
#[rstest]
#[case::absent("", Some((256 << 20, 4096)))]
#[case::given("limits.memory_mb=120.5\nlimits.max_fds=3075\n", Some((241 << 19, 3075)))]
#[case::no_number("limits.memory_mb=much\n", None)]
#[case::zero("limits.max_fds=0\n", None)]
fn limits_of_a_process(#[case] lines: &str, #[case] expected: Option<(usize, usize)>) {
    let boot = Boot::parse(&format!("{BOOT}{lines}")).ok();
    assert_eq!(boot.map(|boot| (boot.memory, boot.descriptors)), expected);
}

/// Guards against a small body whose parsed form takes a hundred times its size.
#[test]
fn no_more_steps_are_parsed_than_a_job_may_have() {
    let steps = vec!["{}"; 80_000].join(",");
    let refused = decode_job(format!(r#"{{"steps":[{steps}]}}"#).as_bytes());
    let why = refused.expect_err("too many");
    assert!(why.starts_with("a job has 1 to 200 steps"), "{why}");
    assert!(why.ends_with("column 613"), "where reading ended: {why}");
}

/// Bodies with random bytes replaced, inserted and cut off: refused or accepted, never a panic.
#[test]
fn damaged_bodies_never_cause_a_panic() {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    for round in 0..6_000 {
        let whole = [JOB, CONFIG, REPORT, BOOT][round % 4].as_bytes();
        let mut body = whole.to_vec();
        for _ in 0..rng.random_range(1..6) {
            let at = rng.random_range(0..body.len());
            match rng.random_range(0..3) {
                0 => body[at] = rng.random(),
                1 => body.truncate(at.max(1)),
                _ => body.insert(at, b"{}[]\",:-9e"[rng.random_range(0..10)]),
            }
        }
        let _ = decode_job(&body);
        let _ = decode_config(body.clone().into());
        let _ = decode_report("i-1", &body);
        let _ = decode_listing(&body);
        let _ = decode_advice(&body);
        let _ = Boot::parse(&String::from_utf8_lossy(&body));
    }
    let deep = "[".repeat(100_000);
    assert!(decode_job(deep.as_bytes()).is_err());
}

/// Guards against taking another program for a minion. If missing fields of its report were zero or
/// empty by default, the scheduler would send holds and orders to it.
#[rstest]
#[case::no_capacity(&REPORT.replace(r#""capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"#, ""))]
#[case::half_a_capacity(&REPORT.replace(r#""cpu":16000,"#, ""))]
#[case::capacity_of_another_type(&REPORT.replace("16000", r#""many""#))]
#[case::negative_capacity(&REPORT.replace("32768", "-1"))]
#[case::no_labels(&REPORT.replace(r#""labels":["a","r1-3"],"#, ""))]
#[case::labels_of_another_type(&REPORT.replace(r#"["a","r1-3"]"#, r#""a""#))]
#[case::no_version(&REPORT.replace(r#""version":"v1","#, ""))]
#[case::version_of_another_type(&REPORT.replace(r#""v1""#, "1"))]
#[case::no_slots(&REPORT.replace(r#""slots":8,"#, ""))]
#[case::slots_of_another_type(&REPORT.replace(r#""slots":8"#, r#""slots":"8""#))]
#[case::no_cold_time(&REPORT.replace(r#""cold_left_ms":0,"#, ""))]
#[case::cold_time_of_another_type(&REPORT.replace(r#"_left_ms":0"#, r#"_left_ms":[]"#))]
#[case::no_clock(&REPORT.replace(r#""clock_ms":482113,"#, ""))]
#[case::clock_of_another_type(&REPORT.replace("482113", r#""late""#))]
#[case::remaining_time_of_another_type(&REPORT.replace("2000", r#""soon""#))]
#[case::start_without_a_value(&REPORT.replace("1700000000123", "null"))]
#[case::no_service(&REPORT.replace(r#""service":"s","#, ""))]
#[case::no_zone(&REPORT.replace(r#""zone":"mixco","#, ""))]
#[case::no_sequence(&REPORT.replace(r#","seq":4"#, ""))]
#[case::start_of_another_type(&REPORT.replace(r#""born":1700000000123"#, r#""born":"now""#))]
#[case::start_in_parts_of_a_millisecond(&REPORT.replace("00123", "00123.5"))]
#[case::sequence_of_another_type(&REPORT.replace(r#""seq":4"#, r#""seq":"4""#))]
#[case::address_without_port(&REPORT.replace("10.128.0.9:8080", "10.128.0.9"))]
#[case::unknown_state(&REPORT.replace("draining", "asleep"))]
#[case::a_list("[]")]
#[case::not_text("\u{0}")]
fn an_invalid_report_is_refused(#[case] body: &str) {
    assert_ne!(body, REPORT);
    assert!(decode_report("i-1", body.as_bytes()).is_err());
}

/// A minion lists one row that can't be parsed. The other rows are used, and the row is counted: the
/// run that it stands for must not be treated as ended.
#[rstest]
#[case::short_row(r#"["a.0.0.0"]"#)]
#[case::number_for_a_name(r#"[7,1,"",5,0]"#)]
#[case::no_task_name(r#"["somewhere",1,"",5,0]"#)]
#[case::table(r#"{"task":"x"}"#)]
#[case::nothing("null")]
fn one_unreadable_row_does_not_affect_the_others(#[case] row: &str) {
    let good = r#"["00000000000000aa.0.0.1",2,"saved",40,0]"#;
    let end = r#"[3,"00000000000000aa.0.0.2",1,"done",""]"#;
    let body = format!(r#"{{"clock_ms":5,"running":[{row},{good}],"ended":[{end},{row}]}}"#);
    let listing = decode_listing(body.as_bytes()).expect("an answer");
    assert_eq!(
        (
            listing.running.len(),
            listing.ended.len(),
            listing.unreadable
        ),
        (1, 1, 2)
    );
}

#[rstest]
#[case::given(r#","born":1700000000123"#, Some(1_700_000_000_123))]
#[case::absent("", None)]
#[case::of_another_type(r#","born":"now""#, None)]
fn a_listing_contains_the_start_time_of_its_minion(
    #[case] born: &str,
    #[case] started: Option<u64>,
) {
    let body = format!(r#"{{"clock_ms":5{born},"running":[],"ended":[]}}"#);
    let listing = decode_listing(body.as_bytes()).expect("an answer");
    assert_eq!(listing.started, started.map(Duration::from_millis));
}

#[rstest]
#[case::no_clock(r#"{"running":[],"ended":[]}"#)]
#[case::clock_of_another_type(r#"{"clock_ms":"late","running":[],"ended":[]}"#)]
#[case::no_list(r#"{"clock_ms":5,"running":7,"ended":[]}"#)]
#[case::cut_short(r#"{"clock_ms":5,"running":["#)]
fn an_invalid_listing_is_not_treated_as_an_empty_one(#[case] body: &str) {
    assert!(decode_listing(body.as_bytes()).is_none());
}

/// One row of the policy service's answer has no readable ticket; the other row stays valid.
#[rstest]
#[case::no_ticket(r#"["i-2"]"#)]
#[case::number_for_a_ticket(r#"["i-2",7]"#)]
#[case::nothing("null")]
fn an_unreadable_ticket_affects_only_its_minion(#[case] row: &str) {
    let body = format!(r#"{{"good":[{row},["i-1","t"]]}}"#);
    let advice = decode_advice(body.as_bytes()).expect("an answer");
    assert_eq!(advice.good, [("i-1".into(), "t".into())]);
}

/// A seed that is not an address is ignored, and the daemon starts with the others; without any
/// valid seed it refuses to start.
#[test]
fn a_seed_that_is_not_an_address_is_ignored() {
    let one_bad = BOOT.replace("10.1.0.15:8166,10.2", "nowhere,10.2");
    let boot = Boot::parse(&one_bad).expect("one seed is left");
    assert_eq!(boot.unreadable_seeds, ["nowhere"]);
    let none = BOOT.replace("seeds=10.1.0.15:8166,10.2.0.32:8166", "seeds=nowhere");
    assert!(Boot::parse(&none).is_err());
}

/// Unknown mechanisms and other arguments are refused. Admission is off unless asked for.
#[rstest]
#[case::none(&[], Some("admission"))]
#[case::two(&["--without", "claims,preemption"], Some("claims preemption admission"))]
#[case::joined(&["--without=tight-fit"], Some("tight-fit admission"))]
#[case::admission(&["--admission"], Some(""))]
#[case::admission_and_without(&["--admission", "--without", "claims"], Some("claims"))]
#[case::unknown(&["--without", "luck"], None)]
#[case::no_names(&["--without"], None)]
#[case::another_argument(&["--with", "claims"], None)]
fn mechanisms_are_switched_off_by_name(#[case] args: &[&str], #[case] off: Option<&str>) {
    let parsed = parse_control_args(args.iter().map(Into::into)).ok();
    let names = parsed.map(|m| {
        let names: Vec<_> = m.off().map(|m| m.as_str()).collect();
        names.join(" ")
    });
    assert_eq!(names.as_deref(), off);
}
