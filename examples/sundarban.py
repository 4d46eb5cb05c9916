"""Sundarban Truss Engineering: prints the fleet configuration of sundarban.fleet.json."""

from tarragoncart.fleet import Fleet

DESKS = ("kolkata", "howrah", "siliguri", "durgapur")

fleet = Fleet(
    data_centres=("bengal-1", "bengal-2", "bengal-3"),
    racks_per_data_centre_count=3,
    vms_per_rack_count=4,
)

for desk in DESKS:
    fleet.pool(desk, max_unavailable_count=1, min_available_count=4)
fleet.pool("backoffice", max_unavailable_count=2, min_available_count=2, spare=True)
for pool in (*DESKS, "backoffice"):
    fleet.vms(pool, count=6, slot_count=8, connection_count=64, processor_count=64, memory_gb=256)

for desk in DESKS:
    fleet.queue(f"{desk}-span-checks", pool=desk)
    fleet.queue(f"{desk}-orders", pool=desk, guarded=True)
    # Packs run overnight in the spare pool, so that a builder's span check never waits for one.
    fleet.queue(
        f"{desk}-drawing-packs",
        pool="backoffice",
        deferred=True,
        guarded=True,
        waiting_limit_count=10_000,
    )

fleet.team("delta-housing", share_weight=4, upper_limit_count=120)
fleet.team("hooghly-builders", share_weight=4, upper_limit_count=120)
fleet.team("terai-sheds", share_weight=2, upper_limit_count=72)
fleet.team("steel-town", share_weight=2, upper_limit_count=72)
fleet.team("school-roofs", share_weight=1, upper_limit_count=36)
fleet.team("counter-sales", share_weight=1, upper_limit_count=24)

if __name__ == "__main__":
    fleet.print()
