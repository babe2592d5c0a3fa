//! The scale run: control at sizes up to the target, measured on hollow
//! nodes, with real node processes beside them.

pub mod place;
pub mod real;
pub mod world;

use crate::plot::{plot, Line};
use crate::process_figures::resident_megabytes;
use crate::recorder::Percentiles;
use eyre::Result;
use hdrhistogram::Histogram;
use latchwheel_core::table::{Change, Edit};
use place::{tenant_row, Plan};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use std::path::Path;
use std::time::Duration;
use world::World;

/// Changes of configuration a day at the target.
const EDITS_PER_DAY: f64 = 11_000.0;
/// Machines restarted, replaced or failed a day at the target.
const CHANGES_PER_DAY: f64 = 1_700.0 + 130.0;
const DAY_SECONDS: f64 = 86_400.0;
/// Time for the membership to form before anything is measured.
const WARM_UP: Duration = Duration::from_secs(30);
/// Requests a second at a node that count against limits of rows, at the
/// target's mean: 21,000 over 390 nodes.
const LIMITED_PER_SECOND: f64 = 54.0;
/// No row is limited below this many requests a second in a region.
const LIMIT_LEAST: f64 = 5.0;
/// Nodes in a rack.
const RACK_NODES: usize = 6;

/// Spread of what nodes spent on control.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Spread {
    /// Mean.
    pub mean: f64,
    /// The largest.
    pub max: f64,
}

/// What a phase of the run measured.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Phase {
    /// Name.
    pub name: String,
    /// Length in virtual seconds.
    pub seconds: f64,
    /// Percent of a core per node.
    pub core_percent: Spread,
    /// Bytes sent a second per node.
    pub sent_bytes: Spread,
    /// Bytes received a second per node.
    pub received_bytes: Spread,
    /// Messages a second per node, both ways.
    pub messages: Spread,
    /// Milliseconds until a change is in force at each live node.
    pub in_force: Percentiles,
    /// Changes that some live node did not have at the end.
    pub changes_missing: usize,
    /// Milliseconds until each node of the region knew of a death.
    pub death_known: Percentiles,
    /// Nodes that did not know of a death at the end.
    pub deaths_missing: usize,
    /// Servers without an owner at the end.
    pub servers_without_owner: usize,
    /// Most servers that a node owned at the end.
    pub largest_share: usize,
}

/// What one size measured.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SizeReport {
    /// The size.
    pub plan: Plan,
    /// Megabytes of this process per hollow node; the nodes share what their
    /// tables have in common, so that a real node has more.
    pub megabytes_per_node: f64,
    /// The phases.
    pub phases: Vec<Phase>,
}

/// The whole report.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ScaleReport {
    /// Command line that made it.
    pub command: String,
    /// The sizes.
    pub sizes: Vec<SizeReport>,
    /// Real processes beside the largest size.
    pub real: Option<real::RealReport>,
}

/// Runs one size through all phases.
pub fn run_size(plan: &Plan, seconds: u64) -> SizeReport {
    let before = resident_megabytes(None);
    let mut world = World::new(plan, plan.table());
    world.run(WARM_UP);
    let megabytes_per_node = (resident_megabytes(None) - before) / plan.nodes as f64;
    let mut phases = vec![run_steady(&mut world, plan, seconds)];
    phases.push(run_loss(&mut world, plan, "one node dies", vec![plan.nodes / 2]));
    let rack = (0..RACK_NODES).map(|number| 2 + number * plan.zones).filter(|number| *number < plan.nodes).collect();
    phases.push(run_loss(&mut world, plan, "a rack dies", rack));
    let zone = (0..plan.nodes).filter(|number| plan.place(*number).zone == 1).collect();
    phases.push(run_loss(&mut world, plan, "a zone dies", zone));
    phases.push(run_cut(&mut world, plan));
    SizeReport { plan: plan.clone(), megabytes_per_node, phases }
}

fn edit(number: u64, plan: &Plan) -> Edit {
    let row = tenant_row(number as usize % plan.tenants.max(1), 1.0 + (number % 7) as f64);
    Edit { identity: number, operator: "operator".into(), change: Change::Put(row) }
}

/// Runs at the target's rates of edits and of replaced machines, scaled to
/// the size, with limits in use.
fn run_steady(world: &mut World, plan: &Plan, seconds: u64) -> Phase {
    world.clear_costs();
    let first_edit = world.edits.len();
    let scale = plan.servers as f64 / 12_000.0;
    let change_every = DAY_SECONDS / (CHANGES_PER_DAY * scale);
    let edit_every = DAY_SECONDS / EDITS_PER_DAY;
    let (mut next_change, mut next_edit) = (change_every / 2.0, edit_every / 2.0);
    let step = Duration::from_millis(500);
    let mut random = SmallRng::seed_from_u64(plan.seed);
    let mut at = 0.0;
    let mut number = 1_000;
    while at < seconds as f64 {
        if at >= next_edit {
            next_edit += edit_every;
            number += 1;
            world.edit(edit(number, plan));
        }
        if at >= next_change {
            next_change += change_every;
            world.replace_server(number as usize % plan.zones);
        }
        use_limits(world, plan, step.as_secs_f64(), &mut random);
        world.run(step);
        at += step.as_secs_f64();
    }
    world.run(Duration::from_secs(10));
    measure(world, "steady", seconds as f64 + 10.0, first_edit, 0)
}

/// Requests arrive at each node, tenants in the proportions of Zipf's law.
/// A row's limit is four times its mean demand; one in twenty rows is in
/// demand beyond its limit.
fn use_limits(world: &mut World, plan: &Plan, seconds: f64, random: &mut SmallRng) {
    let count = (LIMITED_PER_SECOND * seconds) as usize;
    let tenants = plan.tenants.max(1) as f64;
    for number in 0..world.nodes.len() {
        if !world.nodes[number].alive {
            continue;
        }
        for _ in 0..count {
            // Zipf with exponent one, by inverting its continuous form.
            let tenant = (tenants.powf(random.random::<f64>()) - 1.0) as usize;
            let share = 1.0 / ((tenant + 1) as f64 * (tenants.ln() + 0.58));
            let demand = LIMITED_PER_SECOND * plan.nodes as f64 * share / plan.regions as f64;
            let limit = if tenant.is_multiple_of(20) { demand * 0.8 } else { demand * 4.0 };
            world.demand(number, &format!("tenant-{tenant}-row"), limit.max(LIMIT_LEAST));
        }
    }
}

/// Some nodes die at once; edits go on.
fn run_loss(world: &mut World, plan: &Plan, name: &str, nodes: Vec<usize>) -> Phase {
    world.clear_costs();
    let (first_edit, first_death) = (world.edits.len(), world.deaths.len());
    for node in &nodes {
        world.kill_node(*node);
    }
    let base = 10_000 + first_edit as u64 * 10;
    for number in 0..5 {
        world.run(Duration::from_secs(6));
        world.edit(edit(base + number, plan));
    }
    world.run(Duration::from_secs(10));
    let phase = measure(world, name, 40.0, first_edit, first_death);
    for node in nodes {
        world.start_node(node);
    }
    world.run(WARM_UP);
    phase
}

/// Region 1 is cut off from all others and from the platform for a minute;
/// edits are made meanwhile, and their times count from the heal for it.
fn run_cut(world: &mut World, plan: &Plan) -> Phase {
    world.clear_costs();
    let first_edit = world.edits.len();
    for region in (0..plan.regions).filter(|region| *region != 1) {
        world.cut_regions.insert((region.min(1), region.max(1)));
    }
    world.cut_platform.insert(1);
    let base = 50_000 + first_edit as u64 * 10;
    for number in 0..5 {
        world.run(Duration::from_secs(12));
        world.edit(edit(base + number, plan));
    }
    world.cut_regions.clear();
    world.cut_platform.clear();
    let healed = world.now;
    world.run(Duration::from_secs(20));
    let mut phase = measure(world, "a region is cut off", 80.0, first_edit, usize::MAX);
    let mut histogram = new_histogram();
    for trace in &world.edits[first_edit..] {
        for (node, at) in &trace.in_force {
            let from = if world.nodes[*node].place.region == 1 { healed.max(trace.at) } else { trace.at };
            let _ = histogram.record(at.since(from).as_micros() as u64);
        }
    }
    phase.in_force = Percentiles::of(&histogram);
    phase
}

fn measure(world: &World, name: &str, seconds: f64, first_edit: usize, first_death: usize) -> Phase {
    let live: Vec<&world::HollowNode> = world.nodes.iter().filter(|node| node.alive).collect();
    let spread = |value: &dyn Fn(&world::HollowNode) -> f64| {
        let values: Vec<f64> = live.iter().map(|node| value(node) / seconds).collect();
        let mean = values.iter().sum::<f64>() / values.len().max(1) as f64;
        Spread { mean, max: values.iter().copied().fold(0.0, f64::max) }
    };
    let mut in_force = new_histogram();
    let mut changes_missing = 0;
    for trace in &world.edits[first_edit..] {
        let have = live.iter().filter(|node| node_number(world, node).is_some_and(|n| trace.in_force.contains_key(&n)));
        changes_missing += usize::from(have.count() < live.len());
        for at in trace.in_force.values() {
            let _ = in_force.record(at.since(trace.at).as_micros() as u64);
        }
    }
    let mut death_known = new_histogram();
    let mut deaths_missing = 0;
    for trace in world.deaths.iter().skip(first_death) {
        let region = world.nodes[trace.node].place.region;
        let witnesses = (0..world.nodes.len())
            .filter(|number| world.nodes[*number].alive && world.nodes[*number].place.region == region);
        for witness in witnesses {
            match trace.known.get(&witness) {
                Some(at) => drop(death_known.record(at.since(trace.at).as_micros() as u64)),
                None => deaths_missing += 1,
            }
        }
    }
    Phase {
        name: name.into(),
        seconds,
        core_percent: spread(&|node| node.cost.busy.as_secs_f64() * 100.0),
        sent_bytes: spread(&|node| node.cost.sent as f64),
        received_bytes: spread(&|node| node.cost.received as f64),
        messages: spread(&|node| node.cost.messages as f64),
        in_force: Percentiles::of(&in_force),
        changes_missing,
        death_known: Percentiles::of(&death_known),
        deaths_missing,
        servers_without_owner: world.without_owner(),
        largest_share: world.shares().0,
    }
}

fn node_number(_world: &World, node: &world::HollowNode) -> Option<usize> {
    node.record.address.parse().ok()
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three digits are allowed")
}

impl ScaleReport {
    /// The report as tables.
    pub fn text(&self) -> String {
        let mut text = format!("{}\n", self.command);
        text.push_str(&format!(
            "{:<22}{:>6}{:>9}{:>9}{:>9}{:>9}{:>9}{:>10}{:>10}{:>10}{:>9}{:>9}{:>7}\n",
            "phase",
            "nodes",
            "core %",
            "max",
            "sent/s",
            "recv/s",
            "max",
            "force p50",
            "p99",
            "max ms",
            "dead p50",
            "max ms",
            "lacks"
        ));
        for size in &self.sizes {
            for phase in &size.phases {
                text.push_str(&format!(
                    "{:<22}{:>6}{:>9.3}{:>9.3}{:>9.0}{:>9.0}{:>9.0}{:>10.0}{:>10.0}{:>10.0}{:>9.0}{:>9.0}{:>7}\n",
                    phase.name,
                    size.plan.nodes,
                    phase.core_percent.mean,
                    phase.core_percent.max,
                    phase.sent_bytes.mean,
                    phase.received_bytes.mean,
                    phase.sent_bytes.max.max(phase.received_bytes.max),
                    phase.in_force.p50,
                    phase.in_force.p99,
                    phase.in_force.max,
                    phase.death_known.p50,
                    phase.death_known.max,
                    phase.changes_missing + phase.deaths_missing + phase.servers_without_owner,
                ));
            }
            text.push_str(&format!("  {} nodes: {:.1} MB a node\n", size.plan.nodes, size.megabytes_per_node));
        }
        if let Some(real) = &self.real {
            text.push_str(&real.text());
        }
        text
    }

    /// Draws the slopes over the number of nodes.
    ///
    /// # Errors
    /// If a file can't be written.
    pub fn draw(&self, folder: &Path) -> Result<()> {
        let points = |value: &dyn Fn(&SizeReport) -> f64| -> Vec<(f64, f64)> {
            self.sizes.iter().map(|size| (size.plan.nodes as f64, value(size))).collect()
        };
        let core = [
            Line { name: "mean".into(), points: points(&|size| size.phases[0].core_percent.mean) },
            Line { name: "largest".into(), points: points(&|size| size.phases[0].core_percent.max) },
        ];
        plot(&folder.join("scale-core.svg"), "Control: percent of a core per node", "nodes", &core)?;
        let bytes = [
            Line { name: "sent".into(), points: points(&|size| size.phases[0].sent_bytes.mean) },
            Line { name: "received".into(), points: points(&|size| size.phases[0].received_bytes.mean) },
        ];
        plot(&folder.join("scale-bytes.svg"), "Control: bytes a second per node", "nodes", &bytes)?;
        let force = [
            Line { name: "p50".into(), points: points(&|size| size.phases[0].in_force.p50) },
            Line { name: "p99".into(), points: points(&|size| size.phases[0].in_force.p99) },
            Line { name: "largest".into(), points: points(&|size| size.phases[0].in_force.max) },
        ];
        plot(&folder.join("scale-in-force.svg"), "A change is in force: milliseconds", "nodes", &force)
    }
}
