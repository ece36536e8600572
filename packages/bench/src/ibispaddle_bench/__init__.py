"""Load generator, experiments and measurements."""
