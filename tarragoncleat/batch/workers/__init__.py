"""Sessions with workers: leases, orders, reports and health."""
