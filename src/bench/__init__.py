"""Demo, failure runs and measurements with real processes."""
