mod level_fleet;
use hooktrestle_core::clock::Millis;
use level_fleet::*;
#[test]
fn show() {
    for way in [Way::Level] {
        for gateways in [8, 34, 432] {
            for factor in [1.3, 1.9, 2.6] {
                let mut fleet = Fleet::new(way, gateways, 1);
                fleet.run(Millis(3_000));
                fleet.per_s = rate_per_s(SLOTS) * factor;
                fleet.run(Millis(8_000));
                fleet.per_s = 300.0;
                fleet.run(Millis(4_000));
                println!(
                    "{way:?} {gateways} {factor} returned {:?} prio {:?}",
                    fleet.returned, fleet.by_priority
                );
                println!(
                    "  {:?}",
                    fleet
                        .seconds
                        .iter()
                        .map(|s| (s.in_time, s.late, s.most_open))
                        .collect::<Vec<_>>()
                );
            }
        }
    }
}
