"""Fleet capacity and maintenance manager that runs on small diskless entry VMs."""

__version__ = "0.1.0"
