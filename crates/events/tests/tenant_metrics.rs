//! The number of tenant series is bounded, and the tenants with the most work have one.

use latchwheel_events::{count_claim, metrics_text, SlotOutcome};

#[test]
fn tenants_with_the_most_work_have_their_own_series() {
    for number in 0..3000_u64 {
        count_claim(1, &format!("tenant-{number}"), SlotOutcome::AtOnce, 10);
    }
    for _ in 0..50 {
        count_claim(1, "flooding", SlotOutcome::InTurn, 500);
        count_claim(1, "flooding", SlotOutcome::CrowdedOut, 500);
    }
    count_claim(0, "urgent", SlotOutcome::Late, 900);
    let text = metrics_text();
    let series = |name: &str| text.lines().filter(|line| line.starts_with(&format!("{name}{{"))).count();
    assert!(series("latchwheel_tenant_work") <= 18, "{text}");
    let line = |start: &str| text.lines().find(|line| line.starts_with(start)).unwrap_or_default().to_owned();
    let flooding = |name: &str| line(&format!("latchwheel_{name}{{precedence=\"1\",tenant=\"flooding\"}}"));
    assert!(flooding("tenant_work").ends_with(" 25000"), "{text}");
    assert!(flooding("tenant_crowded_out").ends_with(" 50"));
    assert!(line("latchwheel_tenant_slots_late{precedence=\"0\",tenant=\"urgent\"}").ends_with(" 1"));
    let other = line("latchwheel_tenant_slots_at_once{precedence=\"1\",tenant=\"other\"}");
    let in_other: u64 = other.rsplit(' ').next().unwrap().parse().unwrap();
    assert!((2984..=3000).contains(&in_other), "{other}");
}
