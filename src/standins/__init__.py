"""Small stand-ins for the platform and its workers, for tests and measurements."""
