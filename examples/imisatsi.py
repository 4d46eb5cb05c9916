"""Imisatsi Heritage Rentals: prints the fleet configuration of imisatsi.fleet.json."""

from tarragoncart.fleet import Fleet

SERVICES = ("holds", "events", "returns", "payments")

fleet = Fleet(
    data_centres=("kigali-1", "kigali-2", "kigali-3"),
    racks_per_data_centre_count=3,
    vms_per_rack_count=4,
)

for service in SERVICES:
    fleet.pool(service, max_unavailable_count=1, min_available_count=4)
fleet.pool("backoffice", max_unavailable_count=2, min_available_count=2, spare=True)
for pool in (*SERVICES, "backoffice"):
    fleet.vms(pool, count=6, slot_count=8, connection_count=64, processor_count=16, memory_gb=64)

fleet.queue("holds", pool="holds", guarded=True)
fleet.queue("returns", pool="returns", guarded=True)
fleet.queue("events", pool="events")
fleet.queue("settle", pool="payments", guarded=True)
fleet.queue("refund", pool="payments", guarded=True)
fleet.queue("cleaning", pool="backoffice", deferred=True, waiting_limit_count=10_000)
# Anybody may look up what is free; not in the pool of the holds, which a rush of lookups would
# keep waiting.
fleet.queue("availability", pool="events", open_to_all=True, waiting_limit_count=200)

fleet.team("theatre", share_weight=4, upper_limit_count=120)
fleet.team("weddings", share_weight=4, upper_limit_count=120)
fleet.team("film", share_weight=2, upper_limit_count=72)
fleet.team("schools", share_weight=1, upper_limit_count=36)
fleet.team("museums", share_weight=1, upper_limit_count=36)
fleet.team("walk-in", share_weight=1, upper_limit_count=24)

if __name__ == "__main__":
    fleet.print()
